#include "oriolefall/forward/event_form.hpp"

#include "oriolefall/core/text.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <boost/locale/utf.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace oriolefall::forward {

namespace {

constexpr std::string_view id_name = "id";
constexpr std::string_view data_name = "data";
/// Fields that may stand without a value.
constexpr std::array<std::string_view, 3> valueless_names{data_name, "event",
                                                          "retry"};

bool is_text(std::string_view bytes)
{
    namespace utf = boost::locale::utf;
    const char* at = bytes.data();
    const char* const end = at + bytes.size();
    while (at != end) {
        const utf::code_point point = utf::utf_traits<char>::decode(at, end);
        if (!utf::is_valid_codepoint(point))
            return false;
        if (point == '\0' || point == '\r')
            return false;
    }
    return true;
}

/// True for names of letters in lower case, digits, '-' and '_'.
bool is_field_name(std::string_view name)
{
    return !name.empty() && std::ranges::all_of(name, [](unsigned char c) {
        return absl::ascii_islower(c) || absl::ascii_isdigit(c) || c == '-' ||
               c == '_';
    });
}

} // namespace

std::string_view to_string(event_fault value)
{
    static constexpr std::array<std::string_view, 6> names{
        "not_text", "unknown_line", "no_number",
        "no_data",  "out_of_order", "too_large"};
    return names.at(static_cast<std::size_t>(value));
}

bool event_form_reader::read(std::string_view line)
{
    if (!is_text(line))
        return fail(event_fault::not_text);
    if (line.starts_with(':'))
        return true;
    has_fields_ = true;
    const auto colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    const bool has_value = colon != std::string_view::npos;
    if (has_value ? !is_field_name(name)
                  : !std::ranges::count(valueless_names, name))
        return fail(event_fault::unknown_line);
    has_data_ = has_data_ || name == data_name;
    return name != id_name || read_number(line.substr(colon + 1));
}

event_form event_form_reader::result() const
{
    if (fault_)
        return *fault_;
    if (!has_fields_)
        return comment_only{};
    if (!number_)
        return event_fault::no_number;
    if (!has_data_)
        return event_fault::no_data;
    return event_number{*number_};
}

bool event_form_reader::has_fields() const
{
    return has_fields_;
}

bool event_form_reader::fail(event_fault fault)
{
    fault_ = fault;
    return false;
}

bool event_form_reader::read_number(std::string_view text)
{
    const bool is_second = number_.has_value();
    number_ = parse_event_number(text);
    return (!is_second && number_) || fail(event_fault::no_number);
}

std::optional<std::uint64_t> parse_event_number(std::string_view text)
{
    std::uint64_t value = 0;
    return absl::SimpleAtoi(core::to_absl(text), &value) ? std::optional(value)
                                                         : std::nullopt;
}

} // namespace oriolefall::forward
