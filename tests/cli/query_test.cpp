#include "tests/cli/program.hpp"

#include <future>
#include <httplib.h>
#include <thread>

#include <criterion/criterion.h>

using oriolefall::tests::program_result;
using oriolefall::tests::run_program;

namespace {

/// Stands in for an instance and answers with the path and the workspace of the
/// request.
class echo_instance
{
public:
    echo_instance()
    {
        server_.Get("/v1/explain/8",
                    [](const auto&, auto& response) { response.status = 404; });
        server_.Get(".*", [](const httplib::Request& request, auto& response) {
            response.set_content(request.path + " " +
                                     request.get_param_value("workspace"),
                                 "text/plain");
        });
        // The server calls this once it listens; `stop` before that has no
        // effect.
        server_.new_task_queue = [this] {
            listening_.set_value();
            return new httplib::ThreadPool(2);
        };
        port_ = server_.bind_to_any_port("127.0.0.1");
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        listening_.get_future().wait();
    }
    echo_instance(const echo_instance&) = delete;
    echo_instance& operator=(const echo_instance&) = delete;
    ~echo_instance()
    {
        server_.stop();
        thread_.join();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    httplib::Server server_;
    std::promise<void> listening_;
    int port_ = 0;
    std::thread thread_;
};

} // namespace

Test(query, answers_are_printed)
{
    const echo_instance instance;
    const std::string address = instance.address();
    const program_result status = run_program({"status", "--address", address});
    cr_assert_eq(status.exit_status, 0);
    cr_assert_eq(status.out, "/v1/status \n");
    const program_result explain =
        run_program({"explain", "7", "--address", address});
    cr_assert_eq(explain.out, "/v1/explain/7 \n");
    const program_result entry = run_program(
        {"entry", "--workspace", "a&b=\xC4\x81 c", "--address", address});
    cr_assert_eq(entry.exit_status, 0);
    cr_assert_eq(entry.out, "/v1/entry a&b=\xC4\x81 c\n");
}

Test(query, error_answer_gives_status_1)
{
    const echo_instance instance;
    const program_result result =
        run_program({"explain", "8", "--address", instance.address()});
    cr_assert_eq(result.exit_status, 1);
    cr_assert(result.out.empty());
    cr_assert(result.err.find("404") != std::string::npos);
}

Test(query, unreachable_instance_gives_status_1)
{
    std::string address;
    {
        const echo_instance instance;
        address = instance.address();
    }
    const program_result result = run_program({"status", "--address", address});
    cr_assert_eq(result.exit_status, 1);
    cr_assert(result.err.find(address) != std::string::npos);
}
