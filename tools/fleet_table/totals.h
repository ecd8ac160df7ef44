// What all dispatchers of a run did together, counted from their traces (docs/trace.md): by time and cause,
// what was sent to workers while they were cold, how old lists were when used, and requests never answered
// with where they were last. Pure: takes lines, reads no file. Memory: open requests and executions, one row
// a span of time (at most 10,000), one record a worker.
#ifndef ALDERSILL_TOOLS_FLEET_TABLE_TOTALS_H_
#define ALDERSILL_TOOLS_FLEET_TABLE_TOTALS_H_

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet_table/log_line.h"

namespace aldersill::fleet_table {

struct Settings {
  double every = 5.0;  // seconds a row
  // As the dispatchers' `rules` tell them.
  double warm_after = 8.8;  // seconds from a worker's start
  double fall = 3.0;        // seconds: the window of its budget
};

struct Row {
  // Requests, by how they ended; a nack apart by whether anything had been sent for it.
  std::map<std::string, int> answers;   // served, nack_unsent, nack_sent, failed, too_late, repeat, left
  std::map<std::string, int> attempts;  // by outcome, stopped for those given up, open at the end
  int taken = 0, probes = 0, cold_sends = 0, calls = 0, calls_failed = 0;
  double list_age_sum = 0.0, list_age_most = 0.0;  // seconds, over the attempts of this row
  int list_ages = 0;
};

struct ColdWorker {
  std::string instance;
  int sends = 0;           // by dispatchers that had been told of its start, while cold
  int most_in_window = 0;  // of these, in any `fall` seconds
};

struct Lost {
  std::string node, id, job_class;
  double taken = 0.0;
  std::string station;  // "at s-1", "unsent", "between attempts", each with "; restarted" where the node did
};

struct Table {
  std::map<std::int64_t, Row> rows;  // by at / every
  std::vector<ColdWorker> cold;      // the most sends in a window first
  std::vector<Lost> lost;
  int nodes = 0, starts = 0;
  std::int64_t lines = 0, not_ours = 0,
               dropped = 0;  // dropped: by the log's own rate; figures are too low by them
  int out_of_range = 0;      // lines beyond the rows kept
};

class Totals {
 public:
  explicit Totals(Settings settings) : settings_(settings) {}

  // Lines of one dispatcher in the order written; dispatchers in any order.
  void Add(const std::string& node, std::string_view line);
  Table Result();  // what is still open counts as open or lost

 private:
  struct Attempt {
    std::string request;
    std::int64_t row = 0;
    std::string instance;
  };
  struct Request {
    std::string id, job_class;
    double taken = 0.0;
    int sent = 0;
    std::string at;  // the worker of its open attempt
  };
  struct Node {
    std::unordered_map<std::string, Request> by_client;
    std::unordered_map<std::string, std::string> client_of;  // by id
    std::unordered_map<std::string, Attempt> open_attempts;
    std::unordered_map<std::string, std::string> started;  // the start of each worker that this node knows of
    double listed = -1.0;                                  // when discovery last answered
    int starts = 0;
  };

  Row* RowAt(double at);
  void Started(Node* node, const LogLine& line);
  void Ended(Node* node, const LogLine& line, const std::string& outcome);
  void Answered(Node* node, const LogLine& line, std::string what);
  void CloseAll(const std::string& name, Node* node, bool restarted);
  void CountCold();

  const Settings settings_;
  Row beyond_;  // takes what falls beyond the rows kept
  Table table_;
  std::map<std::string, Node> nodes_;
  // Sends by dispatchers that knew of the start, by worker and start in Unix seconds.
  std::map<std::pair<std::string, double>, std::vector<double>> sends_after_start_;
  // From Unix time to the logs' clock: the quickest news of a start is taken to come at once.
  double clock_offset_ = std::numeric_limits<double>::infinity();
};

}  // namespace aldersill::fleet_table

#endif  // ALDERSILL_TOOLS_FLEET_TABLE_TOTALS_H_
