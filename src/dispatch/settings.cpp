#include "dispatch/settings.h"

#include <cmath>
#include <stdexcept>
#include <string>

namespace aldersill::dispatch {
namespace {

// Throws std::invalid_argument with the setting and the requirement unless the requirement is met.
void Require(bool is_met, const std::string& setting, const std::string& requirement) {
  if (!is_met)
    throw std::invalid_argument("setting " + setting + " " + requirement);
}

void RequireFraction(double value, const std::string& setting) {
  Require(std::isfinite(value) && value >= 0.0 && value <= 1.0, setting, "must lie between 0 and 1");
}

void RequireNotNegative(double value, const std::string& setting) {
  Require(std::isfinite(value) && value >= 0.0, setting, "must be finite and not negative");
}

void ValidateClass(const ClassSettings& job_class, std::size_t kinds, const std::string& prefix) {
  Require(job_class.target > 0, prefix + "target", "must be positive");
  Require(job_class.deadline > 0, prefix + "deadline", "must be positive");
  RequireNotNegative(job_class.stretch, prefix + "stretch");
  RequireNotNegative(job_class.priority_weight, prefix + "worth");
  RequireFraction(job_class.late_priority_weight, prefix + "late_worth");
  Require(job_class.window >= 0, prefix + "window", "must not be negative");
  Require(job_class.repeat != Repeat::kKeyed || job_class.window > 0, prefix + "window",
          "must be positive if repeats are keyed");
  Require(job_class.kind >= -1 && job_class.kind < static_cast<int>(kinds), prefix + "kind",
          "must be -1 or the index of a worker kind");
}

void ValidateClasses(const Settings& settings) {
  Require(!settings.classes.empty(), "classes", "must name at least one class");
  for (std::size_t i = 0; i < settings.classes.size(); ++i)
    ValidateClass(settings.classes[i], settings.kinds.size(), "classes[" + std::to_string(i) + "].");
}

// Returns the sum of the tenants' shares.
double ValidateTenants(const Settings& settings) {
  double share_sum = settings.tenants.empty() ? 1.0 : 0.0;
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    const std::string prefix = "tenants[" + std::to_string(i) + "].";
    const TenantSettings& tenant = settings.tenants[i];
    RequireNotNegative(tenant.share, prefix + "share");
    if (tenant.quota_per_s)
      RequireNotNegative(*tenant.quota_per_s, prefix + "quota_per_s");
    share_sum += tenant.share;
  }
  Require(share_sum > 0.0, "tenants", "must have shares with a positive sum");
  return share_sum;
}

void ValidateService(const Settings& settings) {
  Require(settings.nodes >= 1, "nodes", "must be at least 1");
  Require(settings.max_attempts >= 1, "max_attempts", "must be at least 1");
  RequireFraction(settings.over_share_priority_weight, "over_share_worth");
  Require(settings.progress >= 0, "progress", "must not be negative");
  Require(settings.max_retry_after >= 0, "max_retry_after", "must not be negative");
  Require(settings.answer_slack >= 0, "answer_slack", "must not be negative");
  Require(settings.drain_grace >= 0, "drain_grace", "must not be negative");
  Require(settings.max_list_poll_interval > 0, "must_ask_in", "must be positive");
  Require(std::isfinite(settings.overload_factor) && settings.overload_factor > 0.0, "overload_factor",
          "must be positive");
  Require(settings.overload_window > 0, "fall", "must be positive");
  RequireFraction(settings.cold_capacity_share, "cold_share");
  Require(settings.warm_after >= 0, "warm_after", "must not be negative");
  RequireNotNegative(settings.price_cross_zone, "price_cross_zone");
  RequireNotNegative(settings.price_probe, "price_probe");
}

}  // namespace

Settings ValidatedSettings(Settings settings) {
  ValidateClasses(settings);
  const double share_sum = ValidateTenants(settings);
  ValidateService(settings);
  for (TenantSettings& tenant : settings.tenants)
    tenant.share /= share_sum;
  return settings;
}

double NodeQuota(const Settings& settings) {
  double quota = 0.0;
  for (const TenantSettings& tenant : settings.tenants) {
    if (tenant.quota_per_s)
      quota += *tenant.quota_per_s / settings.nodes;
  }
  return quota;
}

}  // namespace aldersill::dispatch
