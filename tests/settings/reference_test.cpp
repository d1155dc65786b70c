#include "oriolefall/settings/deployment.hpp"
#include "oriolefall/settings/instance_settings.hpp"
#include "oriolefall/settings/reference.hpp"

#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;

namespace {

std::string reference_page()
{
    const char* source = std::getenv("ORIOLEFALL_SOURCE");
    cr_assert_not_null(source);
    std::ifstream file(std::string(source) + "/docs/SETTINGS.md");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The page must hold the table line by line; prints what it should be.
void expect_table(const std::vector<settings::setting_description>& described)
{
    const std::string table = settings::print_reference(described);
    cr_assert_neq(reference_page().find("\n\n" + table), std::string::npos,
                  "docs/SETTINGS.md does not hold:\n%s", table.c_str());
}

} // namespace

Test(reference, of_an_instance_is_what_the_parser_takes)
{
    expect_table(settings::describe_instance_settings());
}

Test(reference, of_a_deployment_is_what_the_parser_takes)
{
    expect_table(settings::describe_deployment());
}

Test(reference, describes_each_setting_once)
{
    for (const auto& described : {settings::describe_instance_settings(),
                                  settings::describe_deployment()}) {
        std::set<std::string> paths;
        for (const auto& some : described) {
            cr_assert(paths.insert(some.path).second, "%s", some.path.c_str());
            cr_assert_not(some.purpose.empty(), "%s", some.path.c_str());
        }
    }
}
