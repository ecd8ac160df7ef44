// The file format in which the processes of one dispatcher keep their common list of banned workers: one JSON
// object with the format's name and the workers' ids. Pure.
#ifndef ALDERSILL_SRC_UPGRADE_BAN_LIST_H_
#define ALDERSILL_SRC_UPGRADE_BAN_LIST_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace aldersill::upgrade {

using BanList = std::set<std::string>;  // workers' ids

std::string EncodeBans(const BanList& bans);
// Nothing if `text` is incomplete or in another format.
std::optional<BanList> DecodeBans(std::string_view text);

}  // namespace aldersill::upgrade

#endif  // ALDERSILL_SRC_UPGRADE_BAN_LIST_H_
