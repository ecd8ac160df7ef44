// The bans as the processes of one dispatcher keep them for one another: one JSON object. Pure.
#ifndef ALDERSILL_SRC_UPGRADE_BAN_LIST_H_
#define ALDERSILL_SRC_UPGRADE_BAN_LIST_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace aldersill::upgrade {

using BanList = std::set<std::string>;  // workers' ids

std::string EncodeBans(const BanList& bans);
// Nothing for what is torn, or was written by something else.
std::optional<BanList> DecodeBans(std::string_view text);

}  // namespace aldersill::upgrade

#endif  // ALDERSILL_SRC_UPGRADE_BAN_LIST_H_
