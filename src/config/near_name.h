// Suggests known names for misspelt ones.
#ifndef ALDERSILL_SRC_CONFIG_NEAR_NAME_H_
#define ALDERSILL_SRC_CONFIG_NEAR_NAME_H_

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <string>
#include <vector>

namespace aldersill {

// Returns the Levenshtein distance of two words.
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

// Returns the known name most similar to `name`, or an empty string if none is similar. A known name is
// similar if the edit distance is at most two, or a third of the length of `name` if that is more, or if
// `name` is a prefix of it.
template <typename Names>
std::string NearName(const std::string& name, const Names& names) {
  std::string near;
  std::size_t limit = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& known : names) {
    const bool is_prefix = name.size() >= 3 && known.starts_with(name);  // for example "warn"
    const std::size_t distance = is_prefix ? 1 : EditDistance(name, known);
    if (distance >= limit || distance >= known.size())
      continue;
    limit = distance;
    near = known;
  }
  return near;
}

// Returns the names, separated by commas.
template <typename Names>
std::string JoinNames(const Names& names) {
  std::string list;
  for (const std::string& name : names)
    list += (list.empty() ? "" : ", ") + name;
  return list;
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_NEAR_NAME_H_
