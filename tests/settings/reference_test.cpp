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

/// Checks that the page contains the table; prints the expected table if not.
void expect_table(
    const std::vector<settings::setting_description>& descriptions)
{
    const std::string table = settings::format_reference(descriptions);
    cr_assert_neq(reference_page().find("\n\n" + table), std::string::npos,
                  "docs/SETTINGS.md does not hold:\n%s", table.c_str());
}

} // namespace

Test(reference, instance_table_matches_the_parser)
{
    expect_table(settings::describe_instance_settings());
}

Test(reference, deployment_table_matches_the_parser)
{
    expect_table(settings::describe_deployment());
}

Test(reference, describes_each_setting_once)
{
    for (const auto& descriptions : {settings::describe_instance_settings(),
                                     settings::describe_deployment()}) {
        std::set<std::string> paths;
        for (const auto& description : descriptions) {
            cr_assert(paths.insert(description.path).second, "%s",
                      description.path.c_str());
            cr_assert_not(description.purpose.empty(), "%s",
                          description.path.c_str());
        }
    }
}
