#include "fleet/deployment.h"

#include <fstream>
#include <stdexcept>

namespace aldersill::fleet {
namespace {

using Json = nlohmann::json;

// Times in microseconds.
constexpr std::int64_t kLongDialTimeout = 2'000'000;
constexpr std::int64_t kLongSlowStart = 120'000'000, kLongSlowStartWindow = 2'000'000;
constexpr double kSmallSlowStartShare = 0.06, kFewSlots = 4.0;
constexpr int kFewSockets = 128;
constexpr double kQuotaPerSecond = 1000.0;  // quota of each tenant, high enough to reject no request

Json ReadJson(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw std::runtime_error("cannot read " + path);
  return Json::parse(file);
}

// Reads the configuration into `deployment`. Returns the range of run times of each job class.
Json ReadConfig(const std::string& name, Deployment* deployment) {
  deployment->config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
  if (name == "first")
    return {{"certificado", {5, 60}}, {"promesa", {2, 40}}, {"cobro", {20, 200}}};
  if (name != "consortium")
    throw std::runtime_error("deployment '" + name + "' is unknown: it must be first or consortium");
  const Json consortium = ReadJson(ALDERSILL_CONSORTIUM);
  deployment->config["settings"] = consortium.at("settings");
  deployment->clients_report_cost = true;
  return consortium.at("jobs_ms");
}

void ApplyVariant(SettingsVariant variant, Deployment* deployment) {
  Json& settings = deployment->config["settings"];
  switch (variant) {
    case SettingsVariant::kNone:
      return;
    case SettingsVariant::kLongDialTimeout:
      settings["limits"]["dialTimeout"] = kLongDialTimeout;
      return;
    case SettingsVariant::kFewSockets:
      deployment->config["limits"]["sockets"] = kFewSockets;
      return;
    case SettingsVariant::kLongSlowStart:
      deployment->worker_slots = kFewSlots;
      settings["rules"].update({{"coldShare", kSmallSlowStartShare},
                                {"warmAfter", kLongSlowStart},
                                {"fall", kLongSlowStartWindow}});
      return;
  }
}

void ReadTenants(Deployment* deployment) {
  for (auto& tenant : deployment->config["settings"]["tenants"]) {
    tenant["quotaPerS"] = kQuotaPerSecond;
    deployment->tenants.push_back(tenant.at("name"));
  }
}

void ReadClasses(const Json& grades, const Json& jobs_ms, Deployment* deployment) {
  for (const auto& grade : grades) {
    const std::string name = grade.at("name");
    const Json& range = jobs_ms.at(name);
    deployment->classes.push_back({.name = name,
                                   .min_ms = range.at(0),
                                   .max_ms = range.at(1),
                                   .has_idempotency_key = grade.at("repeat") == "dedup"});
    if (grade.at("repeat") == "fragile")
      deployment->rules.run_once_classes.insert(name);
  }
}

double MeanJobMs(const std::vector<JobClass>& classes) {
  double mean = 0.0;
  for (const JobClass& job_class : classes)
    mean += (job_class.min_ms + job_class.max_ms) / 2.0 / static_cast<double>(classes.size());
  return mean;
}

void ReadRules(const Json& settings, Deployment* deployment) {
  Rules& rules = deployment->rules;
  rules.max_attempts = settings.at("limits").at("maxAttempts");
  rules.hedging_allowed = settings.at("limits").at("secondCopies");
  const Json& throttling = settings.at("rules");
  rules.drain_grace = throttling.at("drainGrace").get<std::int64_t>();
  rules.slow_start_window = throttling.at("fall").get<std::int64_t>();
  rules.slow_start_share = throttling.at("coldShare").get<double>();
  rules.slow_start_duration = throttling.at("warmAfter").get<std::int64_t>();
  rules.warm_calls = throttling.at("overloadFactor").get<double>() * deployment->worker_slots *
                     static_cast<double>(rules.slow_start_window) / 1'000.0 / MeanJobMs(deployment->classes);
}

}  // namespace

Deployment ReadDeployment(const std::string& name, SettingsVariant variant) {
  Deployment deployment;
  const Json jobs_ms = ReadConfig(name, &deployment);
  ApplyVariant(variant, &deployment);
  ReadTenants(&deployment);
  const Json& settings = deployment.config.at("settings");
  deployment.lists_pushed = settings.at("discovery") == "automatic";
  deployment.load_from_health_checks_only = settings.at("report").at("how") == "pull";
  deployment.workers_report_progress = settings.at("familyInfo").value("tellsStart", false);
  ReadClasses(settings.at("grades"), jobs_ms, &deployment);
  ReadRules(settings, &deployment);
  return deployment;
}

}  // namespace aldersill::fleet
