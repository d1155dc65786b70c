#include "tests/cli/program.hpp"
#include "tests/cli/temporary_file.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using oriolefall::tests::program_result;
using oriolefall::tests::run_program;
using oriolefall::tests::source_file;
using oriolefall::tests::temporary_file;

Test(check, examples_are_sound)
{
    const program_result deployments =
        run_program({"check", source_file("examples/dala_compass.jsonc"),
                     source_file("examples/vitols.jsonc")});
    cr_assert_eq(deployments.exit_status, 0, "%s", deployments.out.c_str());
    const program_result instance = run_program(
        {"check", "--instance", source_file("examples/instance.jsonc")});
    cr_assert_eq(instance.exit_status, 0, "%s", instance.out.c_str());
}

Test(check, finds_out_what_kind_of_file_it_is_given)
{
    const program_result instance =
        run_program({"check", source_file("examples/instance.jsonc")});
    cr_assert_eq(instance.exit_status, 0, "%s", instance.out.c_str());
    const temporary_file platform("first=1\n\nprovider.address=nowhere\n");
    const program_result faults = run_program({"check", platform.name()});
    cr_assert_eq(faults.exit_status, 2);
    cr_assert(faults.out.find(platform.name() +
                              ":3: provider.address is no address") !=
                  std::string::npos,
              "%s", faults.out.c_str());
    // Fields that it doesn't know are the platform's to add.
    cr_assert(faults.out.find("first") == std::string::npos);
}

Test(check, each_fault_is_one_line_with_file_path_found_and_allowed)
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

Test(check, one_faulty_file_among_sound_ones_is_status_2)
{
    const temporary_file file("{");
    const std::string sound = source_file("examples/vitols.jsonc");
    const program_result result =
        run_program({"check", sound, file.name(), sound});
    cr_assert_eq(result.exit_status, 2);
    cr_assert(result.out.find(sound + ": ok\n") != std::string::npos);
}

Test(check, file_that_cannot_be_read_is_named)
{
    const program_result result = run_program({"check", "/nonexistent/a"});
    cr_assert_eq(result.exit_status, 2);
    cr_assert(result.err.find("/nonexistent/a: cannot be read") !=
              std::string::npos);
}
