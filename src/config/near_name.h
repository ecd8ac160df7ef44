// Suggestions for misspelt names.
#ifndef ALDERSILL_SRC_CONFIG_NEAR_NAME_H_
#define ALDERSILL_SRC_CONFIG_NEAR_NAME_H_

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <string>
#include <vector>

namespace aldersill {

// The Levenshtein distance of two words.
inline std::size_t EditDistance(const std::string& left, const std::string& right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < right.size(); ++j) {
      const std::size_t substituted = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({substituted, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

// The known name nearest to `name`; empty if none is near. Two letters or a third of them may differ, or the
// end of the known name may be missing.
template <typename Names>
std::string NearName(const std::string& name, const Names& names) {
  std::string near;
  std::size_t limit = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& known : names) {
    const bool is_prefix = name.size() >= 3 && known.starts_with(name);  // such as "warn"
    const std::size_t distance = is_prefix ? 1 : EditDistance(name, known);
    if (distance >= limit || distance >= known.size())
      continue;
    limit = distance;
    near = known;
  }
  return near;
}

// The names, separated by commas.
template <typename Names>
std::string Listed(const Names& names) {
  std::string list;
  for (const std::string& name : names)
    list += (list.empty() ? "" : ", ") + name;
  return list;
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_NEAR_NAME_H_
