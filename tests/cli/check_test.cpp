#include "tests/cli/program.hpp"
#include "tests/cli/temporary_file.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using oriolefall::tests::program_result;
using oriolefall::tests::run_program;
using oriolefall::tests::source_file;
using oriolefall::tests::temporary_file;

Test(check, examples_are_valid)
{
    const program_result deployments =
        run_program({"check", source_file("examples/dala_compass.jsonc"),
                     source_file("examples/vitols.jsonc")});
    cr_assert_eq(deployments.exit_status, 0, "%s", deployments.out.c_str());
    const program_result instance = run_program(
        {"check", "--instance", source_file("examples/instance.jsonc")});
    cr_assert_eq(instance.exit_status, 0, "%s", instance.out.c_str());
}

Test(check, kind_of_file_is_detected)
{
    const program_result instance =
        run_program({"check", source_file("examples/instance.jsonc")});
    cr_assert_eq(instance.exit_status, 0, "%s", instance.out.c_str());
    const temporary_file platform("first=1\n\nprovider.address=nowhere\n");
    const program_result result = run_program({"check", platform.name()});
    cr_assert_eq(result.exit_status, 2);
    cr_assert(result.out.find(platform.name() +
                              ":3: provider.address is no address") !=
                  std::string::npos,
              "%s", result.out.c_str());
    // Unknown fields are no fault: the platform may add fields.
    cr_assert(result.out.find("first") == std::string::npos);
}

Test(check, each_fault_prints_one_line_with_file_path_found_and_allowed)
{
    const temporary_file file(
        R"({"instance":"a","listen":"nowhere","colour":"red"})");
    const program_result result =
        run_program({"check", "--instance", file.name()});
    cr_assert_eq(result.exit_status, 2);
    const std::string listen =
        file.name() + ": /listen: found \"nowhere\", allowed: ";
    const std::string colour =
        file.name() + ": /colour: found \"red\", allowed: ";
    cr_assert(result.out.find(listen) != std::string::npos, "%s",
              result.out.c_str());
    cr_assert(result.out.find(colour) != std::string::npos, "%s",
              result.out.c_str());
    cr_assert_geq(std::ranges::count(result.out, '\n'), 2);
}

Test(check, one_invalid_file_among_valid_ones_gives_status_2)
{
    const temporary_file file("{");
    const std::string valid = source_file("examples/vitols.jsonc");
    const program_result result =
        run_program({"check", valid, file.name(), valid});
    cr_assert_eq(result.exit_status, 2);
    cr_assert(result.out.find(valid + ": ok\n") != std::string::npos);
}

Test(check, unreadable_file_is_named)
{
    const program_result result = run_program({"check", "/nonexistent/a"});
    cr_assert_eq(result.exit_status, 2);
    cr_assert(result.err.find("/nonexistent/a: cannot be read") !=
              std::string::npos);
}
