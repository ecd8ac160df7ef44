// Runs the timetables of a range of seeds, or one from a file, and checks the runs. Prints the first
// timetable that violates a rule, without the faults that the violation does not need.
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
constexpr int kSuccess = 0, kFailure = 1, kError = 2;  // exit statuses; kError: the rig cannot continue

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
  app->add_option("--count", options->count, "number of seeds")->check(CLI::PositiveNumber);
  app->add_option("--dispatchers", options->dispatchers)->check(CLI::Range(1, 100));
  app->add_option("--workers", options->workers)->check(CLI::Range(1, 100));
  app->add_option("--deployment", options->deployment,
                  "both: odd seeds run the first deployment, even seeds the consortium's")
      ->check(CLI::IsMember({"both", "first", "consortium"}));
  app->add_option("--timetable", options->timetable_file, "run the timetable of this YAML file instead")
      ->check(CLI::ExistingFile);
  app->add_option("--program", options->program, "path of the dispatcher's program")
      ->check(CLI::ExistingFile);
  app->add_flag("--expect-violation", options->expect_violation,
                "the program has an injected fault: fail unless one of the seeds violates a rule");
  app->add_option("--rule", options->rule,
                  "with --expect-violation: the line of the violation must contain this text");
  app->add_flag("--soak", options->soak,
                "soak runs: restarts up to SIGKILL, series of reloads, clients on open connections");
  app->add_flag("!--whole", options->reduce, "do not reduce a failing timetable");
}

// Adds the violations that the observations do not show to the checker.
void CheckRun(const Timetable& table, Outcome* outcome) {
  std::vector<std::string>& violations = outcome->verdict.violations;
  if (outcome->run.unexpected_exits > 0)
    violations.emplace_back(
        "a dispatcher exited without a signal, or after SIGTERM with a status other than 0");
  if (!outcome->run.converged)
    violations.emplace_back(
        "after the faults the dispatchers did not converge: each must know all others, one must hold the "
        "lease, and each worker must be health checked by one");
  // A run without requests would keep every rule, and so prove nothing.
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

// Prints all observations of the request whose id ends the violation's line.
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

// Removes faults one by one as long as the timetable still violates a rule.
Timetable Reduce(Timetable table, const std::string& program) {
  for (std::size_t at = table.faults.size(); at-- > 0;) {
    Timetable fewer = table;
    fewer.faults.erase(fewer.faults.begin() + static_cast<std::ptrdiff_t>(at));
    if (!RunAndCheck(fewer, program).verdict.violations.empty())
      table = std::move(fewer);
  }
  return table;
}

// Returns the timetable of the file that the options name, or else the one drawn from the seed.
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

// Runs the timetables up to the first that decides the result. Returns the exit status.
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
      const auto is_expected = [&](const std::string& line) {
        return line.find(options.rule) != std::string::npos;
      };
      if (std::ranges::any_of(violations, is_expected))
        return kSuccess;
    } else if (!violations.empty()) {
      std::cout << "as a timetable, to be run with --timetable:\n"
                << ToYaml(options.reduce ? Reduce(table, options.program) : table);
      return kFailure;
    }
  }
  return options.expect_violation ? kFailure : kSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Runs timetables of faults against real dispatchers and checks what was observed outside of them");
  Options options;
  AddOptions(&app, &options);
  CLI11_PARSE(app, argc, argv);
  try {
    return Search(options);
  } catch (const std::exception& error) {
    std::cerr << "fleet_search: " << error.what() << "\n";
    return kError;
  }
}
