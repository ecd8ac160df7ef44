// The deployments that timetables are played on: what dispatchers are told of each, and how its workers,
// clients and discovery behave by those settings.
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
  int least_ms = 0, most_ms = 0;  // of running
  bool keyed = false;             // comes with an Idempotency-Key
};

struct Deployment {
  nlohmann::json config;  // a dispatcher's, without its name, list and discovery
  std::vector<JobClass> classes;
  std::vector<std::string> tenants;
  bool pushed = false;   // lists come from an agent that answers at once
  bool pulled = false;   // load is told to probes alone, else with answers
  bool notes = false;    // workers tell start and progress
  bool figures = false;  // clients tell cost and memory
  double slots = 16.0;   // that a worker has, by its reports
  Rules rules;
};

// `name`: "first" or "consortium". Throws std::runtime_error for any other. `crossing`: changes settings.
Deployment ReadDeployment(const std::string& name, Crossing crossing);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_DEPLOYMENT_H_
