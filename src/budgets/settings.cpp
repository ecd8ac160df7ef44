#include <xxhash.h>

#include <set>

#include "budgets/types.h"

namespace aldersill::budgets {

std::vector<Error> Check(const Settings& s) {
  std::vector<Error> errors;
  const auto report_if = [&](bool invalid, ErrorCode code, std::string field) {
    if (invalid)
      errors.push_back({code, "budgets." + std::move(field)});
  };
  report_if(s.instances < 1 || s.instances > 1'024, ErrorCode::kBadInstances, "instances");
  report_if(s.seat < 1, ErrorCode::kBadSeat, "seat");
  report_if(s.grant_duration < kSecond || s.grant_duration > 600 * kSecond, ErrorCode::kBadGrant, "grant_ms");
  report_if(!(s.max_clock_drift >= 0 && s.max_clock_drift <= 0.2), ErrorCode::kBadDrift, "most_drift");
  std::set<std::string> names;
  for (const Budget& b : s.budgets) {
    report_if(!names.insert(b.name).second, ErrorCode::kSameName, b.name);
    report_if(b.total <= 0, ErrorCode::kBadTotal, b.name + ".whole");
    report_if(!(b.reserve >= 0 && b.reserve <= 1), ErrorCode::kBadReserve, b.name + ".aside");
    report_if(b.kind == Kind::kRate && b.burst < s.instances, ErrorCode::kBadBurst, b.name + ".burst");
    report_if(b.kind == Kind::kAmount && b.window <= s.grant_duration, ErrorCode::kBadWindow,
              b.name + ".window_ms");
    report_if(b.kind == Kind::kLevel && b.longest_use <= 0, ErrorCode::kBadLongestUse,
              b.name + ".longest_use_ms");
  }
  return errors;
}

std::uint64_t Digest(const Settings& s) {
  std::string text = std::to_string(s.instances) + ' ' + std::to_string(s.grant_duration) + ' ' +
                     std::to_string(s.max_clock_drift) + ' ' + std::to_string(s.max_clock_skew);
  for (const Budget& b : s.budgets) {
    text += '\n' + b.name;
    for (const std::int64_t part : {static_cast<std::int64_t>(b.kind), b.total, b.burst, b.window,
                                    b.longest_use, static_cast<std::int64_t>(b.reserve * 1e9)})
      text += ' ' + std::to_string(part);
  }
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace aldersill::budgets
