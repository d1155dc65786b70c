#ifndef ORIOLEFALL_STAND_INS_INSTANCE_LIST_HPP
#define ORIOLEFALL_STAND_INS_INSTANCE_LIST_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::stand_ins {

/// What an instance tells the platform of itself.
struct instance_record
{
    std::string id;
    std::string address;
    std::uint16_t port = 0;
    /// Where it listens for other instances; 0 when that was not told.
    std::uint16_t peer_port = 0;
    std::string region;
    std::string failure_domain;
    /// `live` or `leaving`.
    std::string state = "live";
    /// Dropped when it is not told again within this time.
    absl::Duration time_to_live = absl::InfiniteDuration();
    std::strong_ordering operator<=>(const instance_record&) const = default;
};

/// The platform's list of instances, which can be read as it was some time
/// ago. One thread.
class instance_list
{
public:
    void tell(absl::Time now, const instance_record& record);
    void remove(absl::Time now, const std::string& id);
    /// The list as it was at `when`.
    [[nodiscard]] std::vector<instance_record> at(absl::Time when) const;

private:
    struct entry
    {
        absl::Time told;
        /// Nothing when the instance was removed.
        std::optional<instance_record> record;
    };

    void add(absl::Time now, const std::string& id, entry next);

    std::map<std::string, std::deque<entry>> entries_;
};

} // namespace oriolefall::stand_ins

#endif
