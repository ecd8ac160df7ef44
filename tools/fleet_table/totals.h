// Totals over all dispatchers of a run, counted from their traces (docs/trace.md): requests and attempts by
// time and result, attempts at workers that were still warming up, the age of the endpoint lists that were
// used, and requests without an answer. No I/O. Keeps in memory the open requests and attempts, one row per
// interval (at most 10,000), and one record per worker.
#ifndef ALDERSILL_TOOLS_FLEET_TABLE_TOTALS_H_
#define ALDERSILL_TOOLS_FLEET_TABLE_TOTALS_H_

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet_table/log_line.h"

namespace aldersill::fleet_table {

// All times in seconds.
struct Settings {
  double interval = 5.0;    // time covered by one row
  double warm_after = 8.8;  // from a worker's start; the dispatchers' `rules.warmAfter`
  double cold_window =
      3.0;  // over which the budget of a cold worker is counted; the dispatchers' `rules.fall`
};

// Counts of one interval.
struct Row {
  // Requests received in the interval by their answer: served, rejected_unsent, rejected_sent (after an
  // attempt), failed, deadline_exceeded, duplicate, disconnected.
  std::map<std::string, int> answers;
  // Attempts started in the interval by outcome; "stopped" for abandoned ones, "open" at the end of the log.
  std::map<std::string, int> attempts;
  int received = 0;
  int probes = 0;
  int cold_sends = 0;
  int discovery_calls = 0;
  int discovery_failures = 0;
  // Age in seconds of the endpoint list at the start of each attempt.
  double list_age_sum = 0.0;
  double list_age_max = 0.0;
  int list_age_count = 0;
};

// A worker that received attempts while it was warming up.
struct ColdWorker {
  std::string name;
  int sends = 0;          // attempts by dispatchers that knew of its start, before it was warm
  int max_in_window = 0;  // the most of these within any `cold_window`
};

// A request without an answer.
struct UnansweredRequest {
  std::string dispatcher;
  std::string id;
  std::string job_class;
  double received = 0.0;
  // "at WORKER", "unsent" or "between attempts", followed by "; restarted" if the dispatcher restarted.
  std::string position;
};

struct Table {
  std::map<std::int64_t, Row> rows;           // by time / interval
  std::vector<ColdWorker> cold_workers;       // by max_in_window, descending
  std::vector<UnansweredRequest> unanswered;  // by time of receipt
  int dispatchers = 0;
  int starts = 0;
  std::int64_t lines = 0;
  std::int64_t foreign_lines = 0;  // lines not written by a dispatcher
  std::int64_t dropped_lines = 0;  // lines dropped by the rate limit of the log, missing from the counts
  int out_of_range = 0;            // counts that fell beyond the last possible row
};

class Totals {
 public:
  explicit Totals(Settings settings) : settings_(settings) {}

  // Adds a line of a dispatcher's log. Lines of one dispatcher must be added in the order in which they were
  // written. The order of the dispatchers does not matter.
  void Add(const std::string& dispatcher, std::string_view text);
  // Counts the attempts that are still open as "open", lists the open requests as unanswered, and returns the
  // table. Call once.
  Table Result();

 private:
  struct Attempt {
    std::string request_id;
    std::int64_t row = 0;
  };
  struct Request {
    std::string id;
    std::string job_class;
    double received = 0.0;
    int attempts = 0;
    std::string worker;  // of its open attempt; empty if there is none
  };
  struct Dispatcher {
    std::unordered_map<std::string, Request> request_by_client;
    std::unordered_map<std::string, std::string> client_by_request_id;
    std::unordered_map<std::string, Attempt> open_attempts;
    std::unordered_map<std::string, std::string>
        worker_starts;        // Unix ms by worker, as discovery listed them
    double list_time = -1.0;  // of the last response of discovery; -1 if unknown
    int starts = 0;
  };

  std::int64_t RowIndex(double time) const;
  Row* RowByIndex(std::int64_t index);
  Row* RowAt(double time) { return RowByIndex(RowIndex(time)); }

  void AddLine(const std::string& name, const LogLine& line);
  bool AddRequestLine(Dispatcher* dispatcher, const LogLine& line);
  bool AddAttemptLine(Dispatcher* dispatcher, const LogLine& line);
  void AddWorkerLine(Dispatcher* dispatcher, const LogLine& line);
  void StartDispatcher(const std::string& name, const LogLine& line);
  void ReceiveRequest(Dispatcher* dispatcher, const LogLine& line);
  void AnswerRequest(Dispatcher* dispatcher, const LogLine& line, std::string result);
  void StartAttempt(Dispatcher* dispatcher, const LogLine& line);
  void EndAttempt(Dispatcher* dispatcher, const LogLine& line, const std::string& outcome);
  void ListWorker(Dispatcher* dispatcher, const LogLine& line);
  void CloseOpenRecords(const std::string& name, Dispatcher* dispatcher, bool restarted);
  void CountColdSends();

  const Settings settings_;
  Row out_of_range_row_;  // receives counts beyond the rows kept
  Table table_;
  std::map<std::string, Dispatcher> dispatchers_;
  // Times of sends by dispatchers that knew of the worker's start, by worker and start in Unix seconds.
  std::map<std::pair<std::string, double>, std::vector<double>> sends_by_worker_start_;
  // The difference between the clock of the logs and Unix time, in seconds: the smallest delay between a
  // worker's start and its listing counts as zero.
  double clock_offset_ = std::numeric_limits<double>::infinity();
};

}  // namespace aldersill::fleet_table

#endif  // ALDERSILL_TOOLS_FLEET_TABLE_TOTALS_H_
