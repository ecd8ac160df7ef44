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
  int min_ms = 0, max_ms = 0;        // range of a job's run time
  bool has_idempotency_key = false;  // requests carry an Idempotency-Key
};

struct Deployment {
  nlohmann::json config;  // a dispatcher's configuration without its name, list and discovery
  std::vector<JobClass> classes;
  std::vector<std::string> tenants;
  bool lists_pushed = false;                  // an agent receives the lists and answers calls at once
  bool load_from_health_checks_only = false;  // answers to jobs carry no load report
  bool workers_report_progress = false;       // answers report the start and the progress of a job
  bool clients_report_cost = false;           // requests carry cost and memory
  double worker_slots = 16.0;                 // slots of each worker in its load reports
  Rules rules;
};

// Reads the deployment `name`, "first" or "consortium", with the settings changed by `variant`. Throws
// std::runtime_error for another name or if a file cannot be read.
Deployment ReadDeployment(const std::string& name, SettingsVariant variant);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_DEPLOYMENT_H_
