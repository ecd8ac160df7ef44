#include "fleet_table/totals.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace aldersill::fleet_table {
namespace {

constexpr std::size_t kMaxRows = 10'000;
constexpr double kMillisecondsPerSecond = 1000.0;

std::string Copy(const LogLine& line, std::string_view field) { return std::string(line.Text(field)); }

}  // namespace

std::int64_t Totals::RowIndex(double time) const {
  return static_cast<std::int64_t>(std::floor(time / settings_.interval));
}

Row* Totals::RowByIndex(std::int64_t index) {
  if (const auto found = table_.rows.find(index); found != table_.rows.end())
    return &found->second;
  if (table_.rows.size() < kMaxRows)
    return &table_.rows[index];
  ++table_.out_of_range;
  return &out_of_range_row_;
}

void Totals::Add(const std::string& dispatcher, std::string_view text) {
  ++table_.lines;
  const std::optional<LogLine> line = Decode(text);
  if (!line) {
    ++table_.foreign_lines;
    return;
  }
  AddLine(dispatcher, *line);
}

void Totals::AddLine(const std::string& name, const LogLine& line) {
  Dispatcher& dispatcher = dispatchers_[name];
  if (line.event == "serving")
    return StartDispatcher(name, line);
  if (line.event == "log_lines_dropped") {
    table_.dropped_lines += static_cast<std::int64_t>(line.Number("lines", 0.0));
    return;
  }
  if (!AddRequestLine(&dispatcher, line) && !AddAttemptLine(&dispatcher, line))
    AddWorkerLine(&dispatcher, line);
}

bool Totals::AddRequestLine(Dispatcher* dispatcher, const LogLine& line) {
  if (line.event == "request_received")
    ReceiveRequest(dispatcher, line);
  else if (line.event == "request_answered")
    AnswerRequest(dispatcher, line, Copy(line, "result"));
  else if (line.event == "client_disconnected")
    AnswerRequest(dispatcher, line, "disconnected");
  else
    return false;
  return true;
}

bool Totals::AddAttemptLine(Dispatcher* dispatcher, const LogLine& line) {
  if (line.event == "attempt_started")
    StartAttempt(dispatcher, line);
  else if (line.event == "attempt_ended")
    EndAttempt(dispatcher, line, Copy(line, "outcome"));
  else if (line.event == "attempt_stopped")
    EndAttempt(dispatcher, line, "stopped");
  else
    return false;
  return true;
}

void Totals::AddWorkerLine(Dispatcher* dispatcher, const LogLine& line) {
  if (line.event == "probe_sent") {
    ++RowAt(line.time)->probes;
  } else if (line.event == "discovery_answered") {
    ++RowAt(line.time)->discovery_calls;
    dispatcher->list_time = line.time;
  } else if (line.event == "discovery_failed") {
    ++RowAt(line.time)->discovery_calls;
    ++RowAt(line.time)->discovery_failures;
  } else if (line.event == "endpoint_list_entry") {
    ListWorker(dispatcher, line);
  }
}

void Totals::StartDispatcher(const std::string& name, const LogLine& line) {
  Dispatcher& dispatcher = dispatchers_[name];
  if (dispatcher.starts++ > 0)
    CloseOpenRecords(name, &dispatcher, /*restarted=*/true);
  dispatcher.list_time = line.time;  // the age of the cached list is unknown; it counts from the start
}

void Totals::ReceiveRequest(Dispatcher* dispatcher, const LogLine& line) {
  ++RowAt(line.time)->received;
  const std::string id = Copy(line, "id");
  const std::string client = Copy(line, "client");
  dispatcher->request_by_client[client] = {
      .id = id, .job_class = Copy(line, "class"), .received = line.time, .attempts = 0, .worker = ""};
  dispatcher->client_by_request_id[id] = client;
}

void Totals::AnswerRequest(Dispatcher* dispatcher, const LogLine& line, std::string result) {
  const auto found = dispatcher->request_by_client.find(Copy(line, "client"));
  if (found == dispatcher->request_by_client.end())
    return;
  const Request& request = found->second;
  if (result == "rejected")
    result = request.attempts > 0 ? "rejected_sent" : "rejected_unsent";
  ++RowAt(request.received)->answers[result];
  dispatcher->client_by_request_id.erase(request.id);
  dispatcher->request_by_client.erase(found);
}

void Totals::StartAttempt(Dispatcher* dispatcher, const LogLine& line) {
  Row* row = RowAt(line.time);
  const std::string worker = Copy(line, "worker");
  const std::string request_id = Copy(line, "id");
  dispatcher->open_attempts[Copy(line, "attempt")] = {.request_id = request_id, .row = RowIndex(line.time)};
  if (dispatcher->list_time >= 0.0) {
    const double age = line.time - dispatcher->list_time;
    row->list_age_sum += age;
    row->list_age_max = std::max(row->list_age_max, age);
    ++row->list_age_count;
  }
  if (const auto client = dispatcher->client_by_request_id.find(request_id);
      client != dispatcher->client_by_request_id.end()) {
    Request& request = dispatcher->request_by_client.at(client->second);
    ++request.attempts;
    request.worker = worker;
  }
  const auto start = dispatcher->worker_starts.find(worker);
  if (start != dispatcher->worker_starts.end() && start->second != "0")
    sends_by_worker_start_[{worker, std::stod(start->second) / kMillisecondsPerSecond}].push_back(line.time);
}

void Totals::EndAttempt(Dispatcher* dispatcher, const LogLine& line, const std::string& outcome) {
  const auto found = dispatcher->open_attempts.find(Copy(line, "attempt"));
  if (found == dispatcher->open_attempts.end())
    return;  // the attempt has already ended; only its first end counts
  const Attempt& attempt = found->second;
  ++RowByIndex(attempt.row)->attempts[outcome];
  const auto client = dispatcher->client_by_request_id.find(attempt.request_id);
  if (client != dispatcher->client_by_request_id.end())
    dispatcher->request_by_client.at(client->second).worker.clear();
  dispatcher->open_attempts.erase(found);
}

void Totals::ListWorker(Dispatcher* dispatcher, const LogLine& line) {
  dispatcher->worker_starts[Copy(line, "worker")] = Copy(line, "started_ms");
  const double start = line.Number("started_ms", 0.0) / kMillisecondsPerSecond;
  if (start > 0.0)
    clock_offset_ = std::min(clock_offset_, line.time - start);
}

void Totals::CloseOpenRecords(const std::string& name, Dispatcher* dispatcher, bool restarted) {
  for (const auto& [number, attempt] : dispatcher->open_attempts)
    ++RowByIndex(attempt.row)->attempts["open"];
  for (const auto& [client, request] : dispatcher->request_by_client) {
    std::string position = "unsent";
    if (!request.worker.empty())
      position = "at " + request.worker;
    else if (request.attempts > 0)
      position = "between attempts";
    if (restarted)
      position += "; restarted";
    table_.unanswered.push_back({.dispatcher = name,
                                 .id = request.id,
                                 .job_class = request.job_class,
                                 .received = request.received,
                                 .position = std::move(position)});
  }
  dispatcher->open_attempts.clear();
  dispatcher->request_by_client.clear();
  dispatcher->client_by_request_id.clear();
}

void Totals::CountColdSends() {
  for (auto& [worker_start, sends] : sends_by_worker_start_) {
    const auto& [name, start] = worker_start;
    const double warm_at = start + clock_offset_ + settings_.warm_after;
    std::sort(sends.begin(), sends.end());
    ColdWorker worker{.name = name, .sends = 0, .max_in_window = 0};
    for (std::size_t first = 0, last = 0; last < sends.size() && sends[last] < warm_at; ++last) {
      ++worker.sends;
      ++RowAt(sends[last])->cold_sends;
      while (sends[last] - sends[first] >= settings_.cold_window)
        ++first;
      worker.max_in_window = std::max(worker.max_in_window, static_cast<int>(last - first) + 1);
    }
    if (worker.sends > 0)
      table_.cold_workers.push_back(worker);
  }
  std::sort(table_.cold_workers.begin(), table_.cold_workers.end(),
            [](const ColdWorker& left, const ColdWorker& right) {
              return std::pair(-left.max_in_window, left.name) < std::pair(-right.max_in_window, right.name);
            });
}

Table Totals::Result() {
  for (auto& [name, dispatcher] : dispatchers_) {
    table_.starts += dispatcher.starts;
    CloseOpenRecords(name, &dispatcher, /*restarted=*/false);
  }
  table_.dispatchers = static_cast<int>(dispatchers_.size());
  CountColdSends();
  std::sort(table_.unanswered.begin(), table_.unanswered.end(),
            [](const UnansweredRequest& left, const UnansweredRequest& right) {
              return std::pair(left.received, left.id) < std::pair(right.received, right.id);
            });
  return std::exchange(table_, {});
}

}  // namespace aldersill::fleet_table
