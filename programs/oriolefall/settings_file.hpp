#ifndef ORIOLEFALL_PROGRAMS_SETTINGS_FILE_HPP
#define ORIOLEFALL_PROGRAMS_SETTINGS_FILE_HPP

#include "oriolefall/core/read_file.hpp"
#include "oriolefall/core/settings_error.hpp"

#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace oriolefall::programs {

/// Prints one line for each fault of `file` on `out`: the file, the path of the
/// setting, the value found and the values allowed.
void print_faults(std::ostream& out, const std::string& file,
                  const std::vector<core::settings_error>& faults);

/// Loads the settings in `file`. Returns `std::nullopt` when the file cannot be
/// read or has faults, which are printed on standard error. `parse` returns a
/// variant whose first alternative is the parsed value and whose second is the
/// list of faults.
template <class Parse>
[[nodiscard]] auto load_settings(const std::string& file, Parse parse)
    -> std::optional<std::variant_alternative_t<0, decltype(parse(file))>>
{
    const auto text = core::read_file(file);
    if (!text) {
        std::cerr << "oriolefall: " << file << ": cannot be read\n";
        return std::nullopt;
    }
    auto parsed = parse(*text);
    if (auto* value = std::get_if<0>(&parsed))
        return std::move(*value);
    print_faults(std::cerr, file, std::get<1>(parsed));
    return std::nullopt;
}

} // namespace oriolefall::programs

#endif
