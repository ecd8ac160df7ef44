// fleet_table FOLDER: the totals of a whole run from the traces in a folder, a file (*.log) for each
// dispatcher. Ends with 0; 1 where nothing could be read or no line was ours, with one line that says so.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>

#include "fleet_table/totals.h"

namespace {

using aldersill::fleet_table::Row;
using aldersill::fleet_table::Table;

int Of(const std::map<std::string, int>& counts, const std::string& name) {
  const auto found = counts.find(name);
  return found == counts.end() ? 0 : found->second;
}

void PrintRows(const Table& table, double every) {
  const std::vector<std::string> answers = {"served",   "nack_unsent", "nack_sent", "failed",
                                            "too_late", "repeat",      "left"};
  std::set<std::string> outcomes;
  for (const auto& [span, row] : table.rows) {
    for (const auto& [outcome, count] : row.attempts)
      outcomes.insert(outcome);
  }
  std::string head = fmt::format("{:>8} {:>7}", "from s", "taken");
  for (const std::string& a : answers)
    head += fmt::format(" {:>11}", a);
  head += " |";
  for (const std::string& o : outcomes)
    head += fmt::format(" {:>{}}", o, std::max<std::size_t>(7, o.size()));
  fmt::print("{} | {:>7} {:>10} {:>6} {:>7} {:>10} {:>10}\n", head, "probes", "cold_sends", "calls", "failed",
             "list_age_s", "oldest_s");
  for (const auto& [span, row] : table.rows) {
    std::string line = fmt::format("{:>8.1f} {:>7}", span * every, row.taken);
    for (const std::string& a : answers)
      line += fmt::format(" {:>11}", Of(row.answers, a));
    line += " |";
    for (const std::string& o : outcomes)
      line += fmt::format(" {:>{}}", Of(row.attempts, o), std::max<std::size_t>(7, o.size()));
    fmt::print("{} | {:>7} {:>10} {:>6} {:>7} {:>10.2f} {:>10.2f}\n", line, row.probes, row.cold_sends,
               row.calls, row.calls_failed, row.list_ages > 0 ? row.list_age_sum / row.list_ages : 0.0,
               row.list_age_most);
  }
}

}  // namespace

int main(int argc, char** argv) {
  aldersill::fleet_table::Settings settings;
  std::string folder;
  std::size_t most = 20;
  CLI::App app("Totals of a run of many dispatchers, from their traces (docs/trace.md)");
  app.add_option("folder", folder, "the traces, one *.log a dispatcher")
      ->required()
      ->check(CLI::ExistingDirectory);
  app.add_option("--every", settings.every, "seconds a row")->check(CLI::Range(0.1, 86'400.0));
  app.add_option("--warm-after", settings.warm_after, "seconds that a worker is cold")
      ->check(CLI::PositiveNumber);
  app.add_option("--window", settings.fall, "seconds of a cold worker's budget")->check(CLI::PositiveNumber);
  app.add_option("--most", most, "lines of each list at the most");
  CLI11_PARSE(app, argc, argv);

  aldersill::fleet_table::Totals totals(settings);
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".log")
      files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  for (const auto& path : files) {
    std::ifstream file(path);
    if (!file) {
      fmt::print(stderr, "fleet_table: cannot read {}\n", path.string());
      return 1;
    }
    for (std::string line; std::getline(file, line);)
      totals.Add(path.stem().string(), line);
  }
  const Table table = totals.Result();
  if (table.lines == table.not_ours) {
    fmt::print(stderr, "fleet_table: no line of a trace in {} ({} files)\n", folder, files.size());
    return 1;
  }
  PrintRows(table, settings.every);
  fmt::print(
      "{} dispatchers, {} starts, {} lines ({} not ours, {} dropped by the log's rate, {} beyond the rows)\n",
      table.nodes, table.starts, table.lines, table.not_ours, table.dropped, table.out_of_range);
  if (table.dropped > 0)
    fmt::print("figures are too low: raise logging.lines_per_second and burst\n");
  fmt::print("{} workers got jobs while cold; most in a window of {} s:\n", table.cold.size(), settings.fall);
  for (std::size_t i = 0; i < std::min(most, table.cold.size()); ++i)
    fmt::print("  {} {} ({} in all)\n", table.cold[i].instance, table.cold[i].most_in_window,
               table.cold[i].sends);
  fmt::print("{} requests have no answer:\n", table.lost.size());
  for (std::size_t i = 0; i < std::min(most, table.lost.size()); ++i) {
    const auto& lost = table.lost[i];
    fmt::print("  {:.3f} {} {} {} {}\n", lost.taken, lost.node, lost.id, lost.job_class, lost.station);
  }
  return 0;
}
