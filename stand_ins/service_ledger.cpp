#include "stand_ins/service_ledger.hpp"

namespace oriolefall::stand_ins {

namespace {
constexpr std::size_t command_capacity = 1024;
} // namespace

service_ledger::service_ledger(const service_faults& faults)
    : faults_(faults), commands_(command_capacity),
      thread_("ledger", [this] { work(); })
{
}

service_ledger::~service_ledger()
{
    commands_.close();
    thread_.join();
}

service_run service_ledger::run(const std::string& key)
{
    auto reply = std::make_shared<core::bounded_ring<service_run>>(1);
    commands_.push(run_command{key, reply});
    return reply->pop().value_or(service_run{});
}

service_counts service_ledger::counts()
{
    auto reply = std::make_shared<core::bounded_ring<service_counts>>(1);
    commands_.push(counts_command{reply});
    return reply->pop().value_or(service_counts{});
}

void service_ledger::change_faults(std::function<void(service_faults&)> change)
{
    commands_.push(faults_command{std::move(change)});
}

void service_ledger::work()
{
    while (const auto next = commands_.pop())
        std::visit([this](const auto& what) { apply(what); }, *next);
}

void service_ledger::apply(const run_command& what)
{
    service_run result{0, 0, faults_};
    if (!faults_.refuse) {
        faults_.drop_answer = false;
        result.id = ++counts_.calls;
        if (!what.key.empty())
            result.runs = ++counts_.by_key[what.key];
    }
    what.reply->try_push(result);
}

void service_ledger::apply(const counts_command& what)
{
    what.reply->try_push(counts_);
}

void service_ledger::apply(const faults_command& what)
{
    what.change(faults_);
}

} // namespace oriolefall::stand_ins
