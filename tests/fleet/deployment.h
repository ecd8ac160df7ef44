// The deployments that timetables are run on: the dispatchers' configuration of each, and how its workers,
// clients and discovery behave under that configuration.
#ifndef ALDERSILL_TESTS_FLEET_DEPLOYMENT_H_
#define ALDERSILL_TESTS_FLEET_DEPLOYMENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet/checker.h"
#include "fleet/timetable.h"

namespace aldersill::fleet {

struct JobClass {
  std::string name;
  int min_ms = 0, max_ms = 0;        // of a job's run
  bool has_idempotency_key = false;  // requests carry an Idempotency-Key
};

struct Deployment {
  nlohmann::json config;  // a dispatcher's, without its name, list and discovery
  std::vector<JobClass> classes;
  std::vector<std::string> tenants;
  bool lists_pushed = false;                  // lists come from an agent that answers at once
  bool load_from_health_checks_only = false;  // else answers to jobs carry load reports as well
  bool workers_report_progress = false;       // their answers tell the start and the progress of a job
  bool clients_report_cost = false;           // requests carry cost and memory
  double worker_slots = 16.0;                 // by the workers' load reports
  Rules rules;
};

// `name`: "first" or "consortium". `variant`: changes settings. Throws std::runtime_error for another name or
// if a file cannot be read.
Deployment ReadDeployment(const std::string& name, SettingsVariant variant);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_DEPLOYMENT_H_
