// Runs the timetables of seeds, or one from a file, and judges the runs. Prints a timetable that fails,
// reduced by leaving faults out one after another as long as it still fails.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "fleet/checker.h"
#include "fleet/deployment.h"
#include "fleet/fleet_run.h"
#include "fleet/soak_timetable.h"
#include "fleet/timetable.h"

namespace {

using namespace aldersill::fleet;

constexpr std::size_t kMaxPrintedViolations = 20, kMaxPrintedHistories = 3;
constexpr int kRulesHeld = 0, kRuleBroken = 1, kCannotGoOn = 2;  // exit statuses

struct Options {
  std::uint64_t first = 1;
  int count = 1, dispatchers = 12, workers = 6;
  std::string deployment = "both";
  std::string timetable_file;
  std::string program = ALDERSILL_PROGRAM;
  bool expect_violation = false;
  bool soak = false;
  std::string rule;
  bool reduce = true;
};

struct Outcome {
  RunResult run;
  Verdict verdict;
};

void AddOptions(CLI::App* app, Options* options) {
  app->add_option("--first", options->first, "first seed");
  app->add_option("--count", options->count, "how many seeds")->check(CLI::PositiveNumber);
  app->add_option("--dispatchers", options->dispatchers)->check(CLI::Range(1, 100));
  app->add_option("--workers", options->workers)->check(CLI::Range(1, 100));
  app->add_option("--deployment", options->deployment,
                  "both: odd seeds on the first, even ones on the consortium's")
      ->check(CLI::IsMember({"both", "first", "consortium"}));
  app->add_option("--timetable", options->timetable_file, "run this one instead, in YAML")
      ->check(CLI::ExistingFile);
  app->add_option("--program", options->program, "the dispatcher's program")->check(CLI::ExistingFile);
  app->add_flag("--expect-violation", options->expect_violation,
                "the program has an injected fault: fail unless a rule is broken within the seeds");
  app->add_option("--rule", options->rule,
                  "with --expect-violation: a rule must be broken whose line contains this");
  app->add_flag("--soak", options->soak,
                "soak runs: restarts up to SIGKILL, reloads in series, clients on open connections");
  app->add_flag("!--whole", options->reduce, "do not reduce a failing timetable");
}

// Adds the violations that the checker cannot see in the observations.
void CheckRun(const Timetable& table, Outcome* outcome) {
  std::vector<std::string>& violations = outcome->verdict.violations;
  if (outcome->run.unexpected_exits > 0)
    violations.emplace_back("a dispatcher ended by itself, or after SIGTERM with a status other than 0");
  if (!outcome->run.converged)
    violations.emplace_back(
        "with all faults over, the dispatchers did not come to know one another, one to hold the lease, and "
        "each worker to be health checked by one");
  // A run in which nothing happened would pass any rule.
  if (outcome->verdict.requests < table.requests / 2 || outcome->verdict.served == 0)
    violations.emplace_back("too few requests were sent or served");
}

Outcome RunAndCheck(const Timetable& table, const std::string& program) {
  const Deployment deployment = ReadDeployment(table.deployment, table.variant);
  Outcome outcome;
  outcome.run = RunTimetable(table, deployment, program);
  outcome.verdict = Check(outcome.run.observations, deployment.rules);
  CheckRun(table, &outcome);
  return outcome;
}

void PrintSummary(const Timetable& table, const Outcome& outcome) {
  const RunResult& run = outcome.run;
  const Verdict& verdict = outcome.verdict;
  std::printf(
      "seed %llu, %s: %d requests, %d served, %d rejected, %d failed, %d left by their client, %d lost with "
      "a killed dispatcher; %d attempts, %d jobs started, %d faults, %d datagrams, %d lease terms, %d left "
      "before their first attempt, %d clients flooding, %d requests retried after a close, %d attempts after "
      "leaving, workers in slow start got %.2f of what they bear, %d of %d restarted not ready in time, "
      "%.1f s%s\n",
      static_cast<unsigned long long>(table.seed), table.deployment.c_str(), verdict.requests, verdict.served,
      verdict.rejected, verdict.failed, verdict.left_by_client, verdict.lost_to_kills, verdict.attempts,
      verdict.jobs_started, run.injected_faults, run.datagrams, verdict.lease_terms,
      verdict.left_before_attempt, run.flooding_clients, run.retried_elsewhere, verdict.late_attempts,
      verdict.peak_slow_start_load, verdict.slow_restarts, verdict.restarts, run.seconds,
      verdict.violations.empty() ? "" : ": BROKEN");
}

// All observations of the request that the violation's line ends with.
void PrintHistory(const std::vector<Observation>& observations, const std::string& violation) {
  const std::string request = violation.substr(violation.rfind(' ') + 1);
  for (const Observation& seen : observations) {
    if (seen.request == request)
      std::printf("    %8.1f ms %-17s d%d w%d attempt %llu %d %s\n",
                  static_cast<double>(seen.at - observations.front().at) / 1'000.0, Name(seen.kind),
                  seen.dispatcher, seen.worker, static_cast<unsigned long long>(seen.attempt), seen.status,
                  seen.text.c_str());
  }
}

void PrintViolations(const Outcome& outcome) {
  const std::vector<std::string>& violations = outcome.verdict.violations;
  for (std::size_t i = 0; i < std::min(violations.size(), kMaxPrintedViolations); ++i) {
    std::printf("  %s\n", violations[i].c_str());
    if (i < kMaxPrintedHistories)
      PrintHistory(outcome.run.observations, violations[i]);
  }
  if (violations.size() > kMaxPrintedViolations)
    std::printf("  and %zu more\n", violations.size() - kMaxPrintedViolations);
}

Timetable Reduce(Timetable table, const std::string& program) {
  for (std::size_t at = table.faults.size(); at-- > 0;) {
    Timetable fewer = table;
    fewer.faults.erase(fewer.faults.begin() + static_cast<std::ptrdiff_t>(at));
    if (!RunAndCheck(fewer, program).verdict.violations.empty())
      table = std::move(fewer);
  }
  return table;
}

Timetable TimetableOf(std::uint64_t seed, const Options& options) {
  if (!options.timetable_file.empty()) {
    std::ifstream in(options.timetable_file);
    return FromYaml({std::istreambuf_iterator<char>(in), {}});
  }
  std::string deployment = options.deployment;
  if (deployment == "both")
    deployment = seed % 2 == 1 ? "first" : "consortium";
  if (options.soak)
    return DrawSoakTimetable(seed, deployment);
  return DrawTimetable(seed, deployment, options.dispatchers, options.workers);
}

// Returns the exit status.
int Search(const Options& options) {
  const int count = options.timetable_file.empty() ? options.count : 1;
  for (int i = 0; i < count; ++i) {
    const Timetable table = TimetableOf(options.first + static_cast<std::uint64_t>(i), options);
    const Outcome outcome = RunAndCheck(table, options.program);
    PrintSummary(table, outcome);
    PrintViolations(outcome);
    std::fflush(stdout);
    const std::vector<std::string>& violations = outcome.verdict.violations;
    if (options.expect_violation) {
      const auto is_wanted = [&](const std::string& line) {
        return line.find(options.rule) != std::string::npos;
      };
      if (std::ranges::any_of(violations, is_wanted))
        return kRulesHeld;
    } else if (!violations.empty()) {
      std::cout << "as a timetable, to be run with --timetable:\n"
                << ToYaml(options.reduce ? Reduce(table, options.program) : table);
      return kRuleBroken;
    }
  }
  return options.expect_violation ? kRuleBroken : kRulesHeld;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Runs timetables of faults against real dispatchers and judges what was observed outside of them");
  Options options;
  AddOptions(&app, &options);
  CLI11_PARSE(app, argc, argv);
  try {
    return Search(options);
  } catch (const std::exception& error) {
    std::cerr << "fleet_search: " << error.what() << "\n";
    return kCannotGoOn;
  }
}
