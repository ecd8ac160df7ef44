#include <xxhash.h>

#include <set>

#include "budgets/types.h"

namespace aldersill::budgets {

std::vector<Error> Check(const Settings& s) {
  std::vector<Error> errors;
  const auto wrong = [&](bool is, ErrorCode code, std::string field) {
    if (is)
      errors.push_back({code, "budgets." + std::move(field)});
  };
  wrong(s.instances < 1 || s.instances > 1'024, ErrorCode::kBadInstances, "instances");
  wrong(s.seat < 1, ErrorCode::kBadSeat, "seat");
  wrong(s.grant < kSecond || s.grant > 600 * kSecond, ErrorCode::kBadGrant, "grant_ms");
  wrong(!(s.most_drift >= 0 && s.most_drift <= 0.2), ErrorCode::kBadDrift, "most_drift");
  std::set<std::string> names;
  for (const Budget& b : s.budgets) {
    wrong(!names.insert(b.name).second, ErrorCode::kSameName, b.name);
    wrong(b.total <= 0, ErrorCode::kBadTotal, b.name + ".whole");
    wrong(!(b.reserve >= 0 && b.reserve <= 1), ErrorCode::kBadReserve, b.name + ".aside");
    wrong(b.kind == Kind::kRate && b.burst < s.instances, ErrorCode::kBadBurst, b.name + ".burst");
    wrong(b.kind == Kind::kAmount && b.window <= s.grant, ErrorCode::kBadWindow, b.name + ".window_ms");
    wrong(b.kind == Kind::kLevel && b.longest_use <= 0, ErrorCode::kBadLongestUse,
          b.name + ".longest_use_ms");
  }
  return errors;
}

std::uint64_t Digest(const Settings& s) {
  std::string text = std::to_string(s.instances) + ' ' + std::to_string(s.grant) + ' ' +
                     std::to_string(s.most_drift) + ' ' + std::to_string(s.most_apart);
  for (const Budget& b : s.budgets) {
    text += '\n' + b.name;
    for (const std::int64_t part : {static_cast<std::int64_t>(b.kind), b.total, b.burst, b.window,
                                    b.longest_use, static_cast<std::int64_t>(b.reserve * 1e9)})
      text += ' ' + std::to_string(part);
  }
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace aldersill::budgets
