#include "fleet_table/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace aldersill::fleet_table {
namespace {

constexpr std::string_view kAnswers[] = {
    "served", "rejected_unsent", "rejected_sent", "failed", "deadline_exceeded", "duplicate", "disconnected"};
constexpr std::size_t kMinColumnWidth = 7;

std::size_t WidthOf(std::string_view heading) { return std::max(kMinColumnWidth, heading.size()); }

int CountOf(const std::map<std::string, int>& counts, std::string_view name) {
  const auto found = counts.find(std::string(name));
  return found == counts.end() ? 0 : found->second;
}

std::set<std::string> OutcomesIn(const Table& table) {
  std::set<std::string> outcomes;
  for (const auto& [index, row] : table.rows) {
    for (const auto& [outcome, count] : row.attempts)
      outcomes.insert(outcome);
  }
  return outcomes;
}

void PrintHeading(const std::set<std::string>& outcomes) {
  std::string line = fmt::format("{:>8} {:>8}", "from s", "received");
  for (const std::string_view answer : kAnswers)
    line += fmt::format(" {:>{}}", answer, WidthOf(answer));
  line += " |";
  for (const std::string& outcome : outcomes)
    line += fmt::format(" {:>{}}", outcome, WidthOf(outcome));
  fmt::print("{} | {:>7} {:>10} {:>6} {:>7} {:>10} {:>10}\n", line, "probes", "cold_sends", "calls", "failed",
             "list_age_s", "oldest_s");
}

void PrintRow(double from, const Row& row, const std::set<std::string>& outcomes) {
  std::string line = fmt::format("{:>8.1f} {:>8}", from, row.received);
  for (const std::string_view answer : kAnswers)
    line += fmt::format(" {:>{}}", CountOf(row.answers, answer), WidthOf(answer));
  line += " |";
  for (const std::string& outcome : outcomes)
    line += fmt::format(" {:>{}}", CountOf(row.attempts, outcome), WidthOf(outcome));
  const double mean_list_age = row.list_age_count > 0 ? row.list_age_sum / row.list_age_count : 0.0;
  fmt::print("{} | {:>7} {:>10} {:>6} {:>7} {:>10.2f} {:>10.2f}\n", line, row.probes, row.cold_sends,
             row.discovery_calls, row.discovery_failures, mean_list_age, row.list_age_max);
}

void PrintSummary(const Table& table) {
  fmt::print(
      "{} dispatchers, {} starts, {} lines ({} of other programs, {} dropped by the log's rate limit, {} "
      "beyond the "
      "rows)\n",
      table.dispatchers, table.starts, table.lines, table.foreign_lines, table.dropped_lines,
      table.out_of_range);
  if (table.dropped_lines > 0)
    fmt::print("the counts are too low: raise logging.lines_per_second and burst\n");
}

void PrintColdWorkers(const Table& table, double window, std::size_t max_items) {
  fmt::print("{} workers received attempts while cold; the most in a window of {} s:\n",
             table.cold_workers.size(), window);
  for (std::size_t i = 0; i < std::min(max_items, table.cold_workers.size()); ++i) {
    const ColdWorker& worker = table.cold_workers[i];
    fmt::print("  {} {} ({} in total)\n", worker.name, worker.max_in_window, worker.sends);
  }
}

void PrintUnanswered(const Table& table, std::size_t max_items) {
  fmt::print("{} requests have no answer:\n", table.unanswered.size());
  for (std::size_t i = 0; i < std::min(max_items, table.unanswered.size()); ++i) {
    const UnansweredRequest& request = table.unanswered[i];
    fmt::print("  {:.3f} {} {} {} {}\n", request.received, request.dispatcher, request.id, request.job_class,
               request.position);
  }
}

}  // namespace

void PrintReport(const Table& table, const Settings& settings, std::size_t max_items) {
  const std::set<std::string> outcomes = OutcomesIn(table);
  PrintHeading(outcomes);
  for (const auto& [index, row] : table.rows)
    PrintRow(static_cast<double>(index) * settings.interval, row, outcomes);
  PrintSummary(table);
  PrintColdWorkers(table, settings.cold_window, max_items);
  PrintUnanswered(table, max_items);
}

}  // namespace aldersill::fleet_table
