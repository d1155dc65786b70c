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

/// Prints each fault of `file` on `out`, a line each: file, path of the
/// setting, what was found, what is allowed.
void print_faults(std::ostream& out, const std::string& file,
                  const std::vector<core::settings_error>& faults);

/// The settings in `file`, or nothing when it cannot be read or has faults,
/// which are told on standard error. `parse` gives a variant of the value and
/// the faults.
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
