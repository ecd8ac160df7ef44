// Plays seeds, or one timetable from a file, and judges them. A failing one prints itself and is cut down by
// leaving faults out one after another, as long as it still fails.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>

#include "fleet/checker.h"
#include "fleet/deployment.h"
#include "fleet/fleet.h"
#include "fleet/timetable.h"

namespace {

using namespace aldersill::fleet;

constexpr std::size_t kMostLines = 20, kMostStories = 3;

// All that was seen of the request that the line ends with.
void TellStory(const std::vector<Seen>& seen, const std::string& line) {
  const std::string id = line.substr(line.rfind(' ') + 1);
  for (const Seen& s : seen) {
    if (s.request == id)
      std::printf("    %8.1f ms %-11s d%d w%d attempt %llu %d %s\n",
                  static_cast<double>(s.at - seen.front().at) / 1'000.0, Name(s.what), s.dispatcher, s.worker,
                  static_cast<unsigned long long>(s.attempt), s.status, s.text.c_str());
  }
}

std::vector<std::string> Broken(const Timetable& table, const std::string& program, bool tell) {
  const Deployment deployment = ReadDeployment(table.deployment, table.crossing);
  const Run run = Play(table, deployment, program);
  Judgement j = Judge(run.seen, deployment.rules);
  if (run.bad_ends > 0)
    j.broken.push_back("a dispatcher ended by itself, or after SIGTERM not with 0");
  if (!run.agreed)
    j.broken.push_back(
        "with all faults over, dispatchers did not come to know one another, one to hold the duty, and each "
        "worker to be probed by one");
  // A run in which nothing happened would pass anything.
  if (j.asked < table.requests / 2 || j.served == 0)
    j.broken.push_back("too few jobs were asked for or served");
  if (tell)
    std::printf(
        "seed %llu, %s: %d asked, %d served, %d refused, %d failed, %d left, %d with their dispatcher "
        "killed; %d attempts, %d runs, %d faults, %d datagrams, %d terms, %d left while they waited, %d "
        "flooding, %d crossing a close, %d attempts after leaving, cold workers got %.2f of what they bear, "
        "%d of %d restarted not ready in time, %.1f s%s\n",
        static_cast<unsigned long long>(table.seed), table.deployment.c_str(), j.asked, j.served, j.refused,
        j.failed, j.left, j.excused, j.attempts, j.ran, run.carried_out, run.datagrams, j.terms, j.waited,
        run.flooded, run.crossed, j.begun_late, j.cold_most, j.unready, j.restarts, run.seconds,
        j.broken.empty() ? "" : ": BROKEN");
  for (std::size_t k = 0; tell && k < std::min(j.broken.size(), kMostLines); ++k) {
    std::printf("  %s\n", j.broken[k].c_str());
    if (k < kMostStories)
      TellStory(run.seen, j.broken[k]);
  }
  if (tell && j.broken.size() > kMostLines)
    std::printf("  and %zu more\n", j.broken.size() - kMostLines);
  std::fflush(stdout);
  return j.broken;
}

Timetable CutDown(Timetable table, const std::string& program) {
  for (std::size_t at = table.faults.size(); at-- > 0;) {
    Timetable fewer = table;
    fewer.faults.erase(fewer.faults.begin() + static_cast<std::ptrdiff_t>(at));
    if (!Broken(fewer, program, false).empty())
      table = std::move(fewer);
  }
  return table;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Plays timetables of faults against real dispatchers and judges what was seen outside of them");
  std::uint64_t first = 1;
  int count = 1, dispatchers = 12, workers = 6;
  std::string file, program = ALDERSILL_PROGRAM, deployment = "both";
  std::string rule;
  bool cut_down = true, planted = false;
  app.add_option("--first", first, "first seed");
  app.add_option("--count", count, "how many seeds")->check(CLI::PositiveNumber);
  app.add_option("--dispatchers", dispatchers)->check(CLI::Range(1, 100));
  app.add_option("--workers", workers)->check(CLI::Range(1, 100));
  app.add_option("--deployment", deployment, "both: odd seeds on the first, even ones on the consortium's")
      ->check(CLI::IsMember({"both", "first", "consortium"}));
  app.add_option("--timetable", file, "play this one instead, in YAML")->check(CLI::ExistingFile);
  app.add_option("--program", program, "the dispatcher to be started")->check(CLI::ExistingFile);
  app.add_flag("--planted", planted,
               "the program has a planted defect: fail unless a rule is broken within the seeds");
  app.add_option("--rule", rule, "with --planted: such a rule must be broken, by a part of its line");
  app.add_flag("!--whole", cut_down, "do not cut a failing timetable down");
  CLI11_PARSE(app, argc, argv);
  try {
    for (int i = 0; i < (file.empty() ? count : 1); ++i) {
      const std::uint64_t seed = first + static_cast<std::uint64_t>(i);
      const std::string on = deployment != "both" ? deployment : seed % 2 == 1 ? "first" : "consortium";
      Timetable table = Draw(seed, on, dispatchers, workers);
      if (!file.empty()) {
        std::ifstream in(file);
        table = FromYaml({std::istreambuf_iterator<char>(in), {}});
      }
      const std::vector<std::string> broken = Broken(table, program, true);
      if (broken.empty())
        continue;
      const auto is_meant = [&](const std::string& line) { return line.find(rule) != std::string::npos; };
      if (planted && std::ranges::any_of(broken, is_meant))
        return 0;
      if (planted)
        continue;
      std::cout << "as a timetable, to be played with --timetable:\n"
                << ToYaml(cut_down ? CutDown(table, program) : table);
      return 1;
    }
  } catch (const std::exception& e) {
    std::cerr << "fleet_search: " << e.what() << "\n";
    return 2;
  }
  return planted ? 1 : 0;
}
