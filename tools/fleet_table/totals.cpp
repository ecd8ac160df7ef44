#include "fleet_table/totals.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace aldersill::fleet_table {
namespace {

constexpr std::size_t kMostRows = 10'000;

}  // namespace

Row* Totals::RowAt(double at) {
  const auto span = static_cast<std::int64_t>(std::floor(at / settings_.every));
  if (const auto found = table_.rows.find(span); found != table_.rows.end())
    return &found->second;
  if (table_.rows.size() < kMostRows)
    return &table_.rows[span];
  ++table_.out_of_range;
  return &beyond_;
}

void Totals::Add(const std::string& name, std::string_view text) {
  ++table_.lines;
  const std::optional<LogLine> line = Decode(text);
  if (!line) {
    ++table_.not_ours;
    return;
  }
  Node& node = nodes_[name];
  const std::string& event = line->event;
  if (event == "serving") {
    if (node.starts++ > 0)
      CloseAll(name, &node, /*restarted=*/true);
    node.listed = line->at;  // the remembered list, whatever its age
  } else if (event == "log_lines_dropped") {
    table_.dropped += static_cast<std::int64_t>(line->Number("lines", 0.0));
  } else if (event == "request_taken") {
    ++RowAt(line->at)->taken;
    const std::string id(line->Text("id"));
    node.by_client[std::string(line->Text("client"))] = {id, std::string(line->Text("class")), line->at, 0,
                                                         ""};
    node.client_of[id] = line->Text("client");
  } else if (event == "execution_started") {
    Started(&node, *line);
  } else if (event == "execution_ended") {
    Ended(&node, *line, std::string(line->Text("outcome")));
  } else if (event == "execution_stopped") {
    Ended(&node, *line, "stopped");
  } else if (event == "request_answered") {
    Answered(&node, *line, std::string(line->Text("what")));
  } else if (event == "client_left") {
    Answered(&node, *line, "left");
  } else if (event == "probe_sent") {
    ++RowAt(line->at)->probes;
  } else if (event == "discovery_answered") {
    ++RowAt(line->at)->calls;
    node.listed = line->at;
  } else if (event == "discovery_failed") {
    ++RowAt(line->at)->calls;
    ++RowAt(line->at)->calls_failed;
  } else if (event == "instance_told") {
    const double started = line->Number("started_ms", 0.0) / 1000.0;
    node.started[std::string(line->Text("instance"))] = line->Text("started_ms");
    if (started > 0.0)
      clock_offset_ = std::min(clock_offset_, line->at - started);
  }
}

void Totals::Started(Node* node, const LogLine& line) {
  Row* row = RowAt(line.at);
  const std::string instance(line.Text("instance")), id(line.Text("id"));
  node->open_attempts[std::string(line.Text("execution"))] = {
      id, static_cast<std::int64_t>(std::floor(line.at / settings_.every)), instance};
  if (node->listed >= 0.0) {
    row->list_age_sum += line.at - node->listed;
    row->list_age_most = std::max(row->list_age_most, line.at - node->listed);
    ++row->list_ages;
  }
  if (const auto client = node->client_of.find(id); client != node->client_of.end()) {
    Request& r = node->by_client.at(client->second);
    ++r.sent;
    r.at = instance;
  }
  if (const auto known = node->started.find(instance); known != node->started.end() && known->second != "0")
    sends_after_start_[{instance, std::stod(known->second) / 1000.0}].push_back(line.at);
}

void Totals::Ended(Node* node, const LogLine& line, const std::string& outcome) {
  const auto found = node->open_attempts.find(std::string(line.Text("execution")));
  if (found == node->open_attempts.end())
    return;  // the first end stands
  ++RowAt(found->second.row * settings_.every)->attempts[outcome];
  const auto client = node->client_of.find(found->second.request);
  if (client != node->client_of.end())
    node->by_client.at(client->second).at.clear();
  node->open_attempts.erase(found);
}

void Totals::Answered(Node* node, const LogLine& line, std::string what) {
  const auto found = node->by_client.find(std::string(line.Text("client")));
  if (found == node->by_client.end())
    return;
  if (what == "nack")
    what = found->second.sent > 0 ? "nack_sent" : "nack_unsent";
  ++RowAt(found->second.taken)->answers[what];
  node->client_of.erase(found->second.id);
  node->by_client.erase(found);
}

void Totals::CloseAll(const std::string& name, Node* node, bool restarted) {
  for (const auto& [number, attempt] : node->open_attempts)
    ++RowAt(attempt.row * settings_.every)->attempts["open"];
  for (const auto& [client, r] : node->by_client) {
    std::string station = !r.at.empty() ? "at " + r.at : r.sent > 0 ? "between attempts" : "unsent";
    table_.lost.push_back({name, r.id, r.job_class, r.taken, station + (restarted ? "; restarted" : "")});
  }
  node->open_attempts.clear();
  node->by_client.clear();
  node->client_of.clear();
}

void Totals::CountCold() {
  for (auto& [start, sends] : sends_after_start_) {
    const double warm = start.second + clock_offset_ + settings_.warm_after;
    std::sort(sends.begin(), sends.end());
    ColdWorker worker{start.first, 0, 0};
    for (std::size_t first = 0, last = 0; last < sends.size() && sends[last] < warm; ++last) {
      ++worker.sends;
      ++RowAt(sends[last])->cold_sends;
      while (sends[last] - sends[first] >= settings_.fall)
        ++first;
      worker.most_in_window = std::max(worker.most_in_window, static_cast<int>(last - first) + 1);
    }
    if (worker.sends > 0)
      table_.cold.push_back(worker);
  }
  std::sort(table_.cold.begin(), table_.cold.end(), [](const ColdWorker& a, const ColdWorker& b) {
    return std::pair(-a.most_in_window, a.instance) < std::pair(-b.most_in_window, b.instance);
  });
}

Table Totals::Result() {
  for (auto& [name, node] : nodes_) {
    table_.starts += node.starts;
    CloseAll(name, &node, /*restarted=*/false);
  }
  table_.nodes = static_cast<int>(nodes_.size());
  CountCold();
  std::sort(table_.lost.begin(), table_.lost.end(),
            [](const Lost& a, const Lost& b) { return std::pair(a.taken, a.id) < std::pair(b.taken, b.id); });
  return std::exchange(table_, {});
}

}  // namespace aldersill::fleet_table
