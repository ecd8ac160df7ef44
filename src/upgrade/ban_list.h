// The file format of the list of banned workers that the processes of one dispatcher share: one JSON object
// with the format's name and the workers' ids. Does no I/O.
#ifndef ALDERSILL_SRC_UPGRADE_BAN_LIST_H_
#define ALDERSILL_SRC_UPGRADE_BAN_LIST_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace aldersill::upgrade {

using BanList = std::set<std::string>;  // workers' ids

std::string EncodeBans(const BanList& bans);
// Returns nothing if `text` is incomplete or in another format.
std::optional<BanList> DecodeBans(std::string_view text);

}  // namespace aldersill::upgrade

#endif  // ALDERSILL_SRC_UPGRADE_BAN_LIST_H_
