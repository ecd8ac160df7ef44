// Which of the names that there are is meant by one that there is not.
#ifndef ALDERSILL_SRC_CONFIG_NEAR_NAME_H_
#define ALDERSILL_SRC_CONFIG_NEAR_NAME_H_

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <string>
#include <vector>

namespace aldersill {

// Levenshtein's distance: the registry has no library for it.
inline std::size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t changed = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({changed, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

// Empty where none is near: a third of its letters may be wrong, or two, or its end left off.
template <typename Names>
std::string NearName(const std::string& name, const Names& names) {
  std::string near;
  std::size_t least = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& known : names) {
    const bool begun = name.size() >= 3 && known.starts_with(name);  // "warn"
    const std::size_t distance = begun ? 1 : EditDistance(name, known);
    if (distance >= least || distance >= known.size())
      continue;
    least = distance;
    near = known;
  }
  return near;
}

template <typename Names>
std::string Listed(const Names& names) {
  std::string list;
  for (const std::string& name : names)
    list += (list.empty() ? "" : ", ") + name;
  return list;
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_NEAR_NAME_H_
