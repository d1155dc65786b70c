#include "oriolefall/singleton/task_runner.hpp"

#include "oriolefall/net/guarded.hpp"

#include <cassert>
#include <utility>
#include <variant>

namespace oriolefall::singleton {

task_runner::task_runner(const singleton_settings& settings,
                         const duty_protocol& protocol,
                         task_connections connections)
    : instance_(settings.lease.instance),
      answer_timeout_(settings.answer_timeout),
      max_objects_(settings.max_objects), protocol_(protocol),
      connections_(std::move(connections))
{
}

void task_runner::run(const duties::task& task, std::uint64_t fencing_number,
                      follow::store_connection::send_check may_send,
                      result_hook on_result)
{
    assert(!on_result_);
    on_result_ = std::move(on_result);
    may_send_ = std::move(may_send);
    fencing_number_ = fencing_number;
    std::visit([this](const auto& each) { start(each); }, task);
}

void task_runner::start(const duties::read_objects& task)
{
    collection_ = task.collection;
    list_.restart();
    list_epoch_.reset();
    read_page();
}

void task_runner::start(const duties::write_object& task)
{
    follow::store_request request = protocol_.write(task);
    request.timeout = answer_timeout_;
    connections_.store->call(request,
                             [this](const follow::store_result& result) {
                                 finish(result, protocol_.parse_write);
                             });
}

void task_runner::start(const duties::provider_call& task)
{
    follow::store_request request =
        std::holds_alternative<duties::usage_report>(task.order)
            ? protocol_.report_usage(instance_, fencing_number_,
                                     std::get<duties::usage_report>(task.order))
            : protocol_.order_size(instance_, fencing_number_,
                                   std::get<duties::size_order>(task.order));
    request.timeout = answer_timeout_;
    connections_.provider->call(
        request,
        [this](const follow::store_result& result) {
            finish(result, protocol_.parse_provider);
        },
        may_send_);
}

void task_runner::read_page()
{
    follow::store_request request = protocol_.list(collection_, list_.cursor());
    request.timeout = answer_timeout_;
    connections_.store->call(
        request,
        [this](const follow::store_result& result) { on_page(result); });
}

void task_runner::on_page(const follow::store_result& result)
{
    const auto* answer = std::get_if<follow::store_answer>(&result);
    if (answer == nullptr) {
        end(duties::task_failed{std::get<follow::store_failure>(result).cause});
        return;
    }
    page_result added = duties::task_failed{"unreadable answer"};
    const auto on_error = [](std::string_view, std::string_view) {};
    static_cast<void>(
        net::run_guarded(on_error, "list", [&] { added = add_page(*answer); }));
    if (const auto* failed = std::get_if<duties::task_failed>(&added))
        end(*failed);
    else if (std::get<follow::list_progress>(added) ==
             follow::list_progress::more)
        read_page();
    else
        end(listed_objects());
}

task_runner::page_result
task_runner::add_page(const follow::store_answer& answer)
{
    const auto epoch = protocol_.epoch(answer);
    if (!epoch)
        return duties::task_failed{"answer without epoch"};
    const follow::call_result parsed = protocol_.parse_list(answer);
    if (const auto* failed = std::get_if<follow::call_failed>(&parsed))
        return duties::task_failed{failed->cause};
    const auto* page = std::get_if<follow::list_page>(&parsed);
    if (page == nullptr)
        return duties::task_failed{"no list"};
    if (list_epoch_.value_or(*epoch) != *epoch)
        return duties::task_failed{"the store was restored between two pages"};
    list_epoch_ = epoch;
    if (list_.objects().size() + page->objects.size() > max_objects_)
        return duties::task_failed{"too many objects"};
    const follow::list_progress progress = list_.add(*page);
    if (progress == follow::list_progress::stalled)
        return duties::task_failed{follow::stalled_list_cause};
    return progress;
}

duties::objects_read task_runner::listed_objects() const
{
    duties::objects_read read{{}, list_epoch_.value_or(0)};
    for (const auto& [name, object] : list_.objects())
        read.objects.push_back({name, object.value, object.revision});
    return read;
}

void task_runner::finish(
    const follow::store_result& result,
    const std::function<duties::task_result(const follow::store_answer&)>&
        parse)
{
    const auto* answer = std::get_if<follow::store_answer>(&result);
    if (answer == nullptr) {
        end(duties::task_failed{std::get<follow::store_failure>(result).cause});
        return;
    }
    duties::task_result parsed = duties::task_failed{"unreadable answer"};
    const auto on_error = [](std::string_view, std::string_view) {};
    static_cast<void>(
        net::run_guarded(on_error, "task", [&] { parsed = parse(*answer); }));
    const auto* written = std::get_if<duties::object_written>(&parsed);
    if (written != nullptr && written->revision == 0)
        parsed = duties::task_failed{"answer without revision"};
    end(parsed);
}

void task_runner::end(const duties::task_result& result)
{
    const auto on_result = std::exchange(on_result_, nullptr);
    assert(on_result);
    on_result(result);
}

} // namespace oriolefall::singleton
