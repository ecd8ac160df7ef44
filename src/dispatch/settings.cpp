#include "dispatch/settings.h"

#include <cmath>
#include <stdexcept>
#include <string>

namespace aldersill::dispatch {
namespace {

void Require(bool holds, const std::string& setting, const std::string& must) {
  if (!holds)
    throw std::invalid_argument("setting " + setting + " " + must);
}

void RequireFraction(double value, const std::string& setting) {
  Require(std::isfinite(value) && value >= 0.0 && value <= 1.0, setting, "must lie between 0 and 1");
}

void RequireNotNegative(double value, const std::string& setting) {
  Require(std::isfinite(value) && value >= 0.0, setting, "must be finite and not negative");
}

void ValidateClass(const ClassSettings& c, std::size_t kinds, const std::string& at) {
  Require(c.target > 0, at + "target", "must be positive");
  Require(c.deadline > 0, at + "deadline", "must be positive");
  RequireNotNegative(c.stretch, at + "stretch");
  RequireNotNegative(c.priority_weight, at + "worth");
  RequireFraction(c.late_priority_weight, at + "late_worth");
  Require(c.window >= 0, at + "window", "must not be negative");
  Require(c.repeat != Repeat::kKeyed || c.window > 0, at + "window",
          "must be positive where repeats are keyed");
  Require(c.kind >= -1 && c.kind < static_cast<int>(kinds), at + "kind", "names no worker kind");
}

}  // namespace

Settings Checked(Settings s) {
  Require(!s.classes.empty(), "classes", "must name at least one class");
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    ValidateClass(s.classes[i], s.kinds.size(), "classes[" + std::to_string(i) + "].");
  }
  double shares = s.tenants.empty() ? 1.0 : 0.0;
  for (std::size_t i = 0; i < s.tenants.size(); ++i) {
    const std::string at = "tenants[" + std::to_string(i) + "].";
    RequireNotNegative(s.tenants[i].share, at + "share");
    if (s.tenants[i].quota_per_s)
      RequireNotNegative(*s.tenants[i].quota_per_s, at + "quota_per_s");
    shares += s.tenants[i].share;
  }
  Require(shares > 0.0, "tenants", "must hold a share between them");
  Require(s.nodes >= 1, "nodes", "must be at least 1");
  Require(s.max_attempts >= 1, "max_attempts", "must be at least 1");
  RequireFraction(s.over_share_priority_weight, "over_share_worth");
  Require(s.progress >= 0, "progress", "must not be negative");
  Require(s.max_retry_after >= 0, "max_retry_after", "must not be negative");
  Require(s.answer_slack >= 0, "answer_slack", "must not be negative");
  Require(s.drain_grace >= 0, "drain_grace", "must not be negative");
  Require(s.must_ask_in > 0, "must_ask_in", "must be positive");
  Require(std::isfinite(s.overload_factor) && s.overload_factor > 0.0, "overload_factor", "must be positive");
  Require(s.fall > 0, "fall", "must be positive");
  RequireFraction(s.cold_share, "cold_share");
  Require(s.warm_after >= 0, "warm_after", "must not be negative");
  RequireNotNegative(s.price_cross_zone, "price_cross_zone");
  RequireNotNegative(s.price_probe, "price_probe");
  for (TenantSettings& tenant : s.tenants)
    tenant.share /= shares;
  return s;
}

}  // namespace aldersill::dispatch
