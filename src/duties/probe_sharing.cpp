#include "duties/probe_sharing.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace aldersill::duties {
namespace {

constexpr Micros kNever = INT64_MAX;
// A stamp further ahead than any clock may be would hide all that comes after it.
constexpr Micros kMostAhead = 30 * kSecond;
// What was taken over is probed within this part of an interval, not all at once.
constexpr Micros kSpreadOver = 10;

}  // namespace

ProbeSharing::ProbeSharing(ProbeSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {}

void ProbeSharing::Handle(Micros now, ProbeEvent event, std::vector<ProbeEffect>* effects) {
  now_ = std::max(now_, now);
  effects_ = effects;
  std::visit([this](auto&& e) { On(std::move(e)); }, std::move(event));
  Launch();
}

Micros ProbeSharing::next_due() const {
  Micros due = kNever;
  if (!due_.empty() && std::ssize(out_) < settings_.most_out)
    due = due_.begin()->first;
  // Numbers and overdue times grow together.
  if (!out_.empty())
    due = std::min(due, out_.begin()->second.overdue_at);
  return due;
}

std::optional<ProbeResult> ProbeSharing::LastOf(const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? std::nullopt : found->second.last;
}

void ProbeSharing::On(MemberJoined&& e) {
  ownership_.SetMember(e.name, e.weight,
                       [this](const auto& worker, const auto& owner) { Owned(worker, owner, false); });
}

void ProbeSharing::On(MemberLeft&& e) {
  ownership_.RemoveMember(e.name,
                          [this](const auto& worker, const auto& owner) { Owned(worker, owner, true); });
}

void ProbeSharing::On(WorkersChanged&& e) {
  std::map<std::string, std::string> now(e.workers.begin(), e.workers.end());
  for (auto at = workers_.begin(); at != workers_.end();) {
    if (now.contains(at->first)) {
      ++at;
      continue;
    }
    Unschedule(at->first, &at->second);
    if (at->second.mine)
      --owned_;
    ownership_.RemoveWorker(at->first);
    at = workers_.erase(at);
  }
  for (auto& [name, address] : now) {
    Worker& worker = workers_[name];
    worker.address = std::move(address);
    ownership_.AddWorker(name, [this](const auto& n, const auto& owner) { Owned(n, owner, false); });
  }
}

void ProbeSharing::Owned(const std::string& name, const std::string& owner, bool by_departure) {
  const auto found = workers_.find(name);
  if (found == workers_.end())
    return;
  Worker& worker = found->second;
  const bool mine = owner == settings_.name;
  if (mine == worker.mine)
    return;
  worker.mine = mine;
  owned_ += mine ? 1 : -1;
  if (!mine)
    return Unschedule(name, &worker);  // what is out still counts when it comes
  if (by_departure)
    ++counters_.takeovers;
  if (worker.out)
    return;
  // On with the rhythm of the one before; what is behind already, soon.
  const Micros usual = worker.last ? TimeOf(worker.last->stamp) + settings_.interval : now_;
  const Micros soon = now_ + Within(by_departure ? settings_.interval / kSpreadOver : settings_.interval);
  Schedule(name, &worker, std::clamp(usual, soon, now_ + settings_.interval));
}

void ProbeSharing::Schedule(const std::string& name, Worker* worker, Micros at) {
  worker->due = at;
  due_.insert({at, name});
}

void ProbeSharing::Unschedule(const std::string& name, Worker* worker) { due_.erase({worker->due, name}); }

void ProbeSharing::On(ProbeTime&&) {
  while (!out_.empty() && out_.begin()->second.overdue_at <= now_) {
    ++counters_.overdue;
    const std::uint64_t number = out_.begin()->first;
    On(ProbeEnded{number, Outcome::kTimeout, settings_.timeout, {}});
  }
}

void ProbeSharing::Launch() {
  while (!due_.empty() && due_.begin()->first <= now_ && std::ssize(out_) < settings_.most_out) {
    const auto [at, name] = *due_.begin();
    due_.erase(due_.begin());
    Worker& worker = workers_.at(name);
    const std::uint64_t number = next_number_++;
    worker.out = number;
    // The next one keeps the rhythm, unless this one is so late that it would follow at once.
    worker.due = now_ - at < settings_.interval / 2
                     ? at + settings_.interval
                     : now_ + settings_.interval / 2 + Within(settings_.interval / 2);
    out_.emplace(number, Out{name, now_ + 2 * settings_.timeout});
    ++counters_.started;
    effects_->push_back(StartProbe{number, name, worker.address});
  }
}

void ProbeSharing::On(ProbeEnded&& e) {
  const auto found = out_.find(e.number);
  if (found == out_.end())
    return;
  const std::string name = found->second.worker;
  const bool slept = now_ > found->second.overdue_at + settings_.timeout;
  out_.erase(found);
  ++counters_.ended;
  const auto known = workers_.find(name);
  if (known == workers_.end())
    return;
  Worker& worker = known->second;
  if (worker.out != e.number)
    return;
  worker.out.reset();
  if (worker.mine)
    Schedule(name, &worker, worker.due);
  if (slept) {
    // It may have come while this instance stood still, and others have long probed since.
    ++counters_.slept_through;
    return;
  }
  ProbeResult result{name, NextStamp(), settings_.name, e.outcome, e.elapsed, e.report};
  worker.last = result;
  effects_->push_back(BroadcastResult{result});
  effects_->push_back(DeliverResult{std::move(result)});
}

void ProbeSharing::On(ProbeResultReceived&& e) {
  const auto known = workers_.find(e.result.worker);
  if (known == workers_.end())
    return;
  if (TimeOf(e.result.stamp) > now_ + kMostAhead) {
    ++counters_.from_ahead;
    return;
  }
  last_stamp_ = std::max(last_stamp_, e.result.stamp);
  std::optional<ProbeResult>& last = known->second.last;
  if (last && std::tie(e.result.stamp, e.result.origin) <= std::tie(last->stamp, last->origin)) {
    ++(e.result.stamp == last->stamp ? counters_.heard_again : counters_.too_old);
    return;
  }
  ++counters_.heard;
  last = e.result;
  effects_->push_back(BroadcastResult{e.result});
  effects_->push_back(DeliverResult{std::move(e.result)});
}

Stamp ProbeSharing::NextStamp() {
  last_stamp_ = std::max(last_stamp_ + 1, static_cast<Stamp>(now_ / kMillisecond) << 16);
  return last_stamp_;
}

}  // namespace aldersill::duties
