#include "oriolefall/backend/engine_command_worker.hpp"

#include "tests/forward/scripted_server.hpp"

#include <future>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;
using backend::command_result;
using tests::scripted_connection;
using tests::scripted_server;

namespace {

/// What comes of a command that an engine answers with this JSON.
command_result result_of(const std::string& body)
{
    scripted_server engine([body](scripted_connection& connection) {
        if (connection.read_request().empty())
            return;
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
        connection.wait_for_close();
    });
    backend::engine_command_worker worker(4, absl::Seconds(2));
    std::promise<command_result> result;
    backend::load_model_command command;
    command.endpoint = engine.endpoint();
    command.on_result = [&result](command_result value) {
        result.set_value(value);
    };
    cr_assert(worker.submit(std::move(command)));
    return result.get_future().get();
}

} // namespace

// A state that is no text threw on the worker's thread, and the process ended.
Test(engine_command, an_odd_answer_ends_no_process)
{
    cr_assert(result_of(R"({"state":"loaded"})") == command_result::loaded);
    cr_assert(result_of(R"({"state":"loading"})") == command_result::loading);
    for (const char* odd : {R"({"state":5})", R"({"state":null})", "{}"})
        cr_assert(result_of(odd) == command_result::loading, "%s", odd);
    const std::string nested =
        std::string(20000, '[') + std::string(20000, ']');
    for (const std::string& unreadable :
         {nested, std::string("[]"), std::string("{"),
          std::string(100000, ' ')})
        cr_assert(result_of(unreadable) == command_result::failed);
}
