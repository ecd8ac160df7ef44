#include "duties/probe_sharing.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace aldersill::duties {
namespace {

constexpr Micros kNever = INT64_MAX;
// Stamps further ahead of this member's clock are rejected: such a result would make all later results of its
// worker look outdated.
constexpr Micros kMaxStampLead = 30 * kSecond;
// The first probes of the workers taken over from a member that left are spread over 1/kTakeoverSpread of the
// interval, so that they do not start all at once.
constexpr Micros kTakeoverSpread = 10;

}  // namespace

ProbeSharing::ProbeSharing(ProbeSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {}

void ProbeSharing::Handle(Micros now, ProbeEvent event, std::vector<ProbeEffect>* effects) {
  now_ = std::max(now_, now);
  effects_ = effects;
  std::visit([this](auto&& alternative) { Apply(std::forward<decltype(alternative)>(alternative)); },
             std::move(event));
  StartDueProbes();
}

Micros ProbeSharing::next_due() const {
  Micros due = kNever;
  if (!schedule_.empty() && std::ssize(in_flight_) < settings_.max_in_flight)
    due = schedule_.begin()->first;
  // A probe with a higher number is overdue later, so the first entry is the first to become overdue.
  if (!in_flight_.empty())
    due = std::min(due, in_flight_.begin()->second.overdue_at);
  return due;
}

std::optional<ProbeResult> ProbeSharing::LastResult(const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? std::nullopt : found->second.last;
}

void ProbeSharing::Apply(MemberJoined&& event) {
  ownership_.SetMember(event.name, event.weight,
                       [this](const auto& worker, const auto& owner) { ApplyOwner(worker, owner, false); });
}

void ProbeSharing::Apply(MemberLeft&& event) {
  ownership_.RemoveMember(event.name,
                          [this](const auto& worker, const auto& owner) { ApplyOwner(worker, owner, true); });
}

void ProbeSharing::Apply(WorkersChanged&& event) {
  std::map<std::string, std::string> listed(event.workers.begin(), event.workers.end());
  for (auto at = workers_.begin(); at != workers_.end();) {
    if (listed.contains(at->first)) {
      ++at;
      continue;
    }
    Unschedule(at->first, &at->second);
    if (at->second.owned_here)
      --owned_;
    ownership_.RemoveWorker(at->first);
    at = workers_.erase(at);
  }
  for (auto& [name, address] : listed) {
    Worker& worker = workers_[name];
    worker.address = std::move(address);
    ownership_.AddWorker(
        name, [this](const auto& changed, const auto& owner) { ApplyOwner(changed, owner, false); });
  }
}

void ProbeSharing::ApplyOwner(const std::string& name, const std::string& owner, bool by_departure) {
  const auto found = workers_.find(name);
  if (found == workers_.end())
    return;
  Worker& worker = found->second;
  const bool owned_here = owner == settings_.name;
  if (owned_here == worker.owned_here)
    return;
  worker.owned_here = owned_here;
  owned_ += owned_here ? 1 : -1;
  if (!owned_here)
    return Unschedule(name, &worker);  // the result of a probe in flight is still used
  if (by_departure)
    ++counters_.takeovers;
  if (worker.in_flight)
    return;
  // Continues the previous owner's schedule. A worker whose probe is overdue in that schedule is probed soon.
  const Micros usual = worker.last ? TimeOf(worker.last->stamp) + settings_.interval : now_;
  const Micros soon =
      now_ + RandomWithin(by_departure ? settings_.interval / kTakeoverSpread : settings_.interval);
  Schedule(name, &worker, std::clamp(usual, soon, now_ + settings_.interval));
}

void ProbeSharing::Schedule(const std::string& name, Worker* worker, Micros at) {
  worker->due = at;
  schedule_.insert({at, name});
}

void ProbeSharing::Unschedule(const std::string& name, Worker* worker) {
  schedule_.erase({worker->due, name});
}

void ProbeSharing::Apply(ProbeTimerExpired&&) {
  while (!in_flight_.empty() && in_flight_.begin()->second.overdue_at <= now_) {
    ++counters_.overdue;
    const std::uint64_t number = in_flight_.begin()->first;
    Apply(ProbeEnded{number, Outcome::kTimeout, settings_.timeout, {}});
  }
}

void ProbeSharing::StartDueProbes() {
  while (!schedule_.empty() && schedule_.begin()->first <= now_ &&
         std::ssize(in_flight_) < settings_.max_in_flight) {
    const auto [at, name] = *schedule_.begin();
    schedule_.erase(schedule_.begin());
    Worker& worker = workers_.at(name);
    const std::uint64_t number = next_number_++;
    worker.in_flight = number;
    // The next probe keeps to the schedule, unless this probe is late by half an interval or more: the next
    // one would then follow too closely.
    worker.due = now_ - at < settings_.interval / 2
                     ? at + settings_.interval
                     : now_ + settings_.interval / 2 + RandomWithin(settings_.interval / 2);
    in_flight_.emplace(number, InFlightProbe{name, now_ + 2 * settings_.timeout});
    ++counters_.started;
    effects_->push_back(StartProbe{number, name, worker.address});
  }
}

void ProbeSharing::Apply(ProbeEnded&& event) {
  const auto found = in_flight_.find(event.number);
  if (found == in_flight_.end())
    return;
  const std::string name = found->second.worker;
  const bool paused = now_ > found->second.overdue_at + settings_.timeout;
  in_flight_.erase(found);
  ++counters_.ended;
  const auto known = workers_.find(name);
  if (known == workers_.end())
    return;
  Worker& worker = known->second;
  if (worker.in_flight != event.number)
    return;
  worker.in_flight.reset();
  if (worker.owned_here)
    Schedule(name, &worker, worker.due);
  if (paused) {
    // The probe may have ended at any time during the pause, and other members may have newer results.
    ++counters_.ended_while_paused;
    return;
  }
  ProbeResult result{name, NextStamp(), settings_.name, event.outcome, event.elapsed, event.report};
  worker.last = result;
  effects_->push_back(BroadcastResult{result});
  effects_->push_back(DeliverResult{std::move(result)});
}

void ProbeSharing::Apply(ProbeResultReceived&& event) {
  const auto known = workers_.find(event.result.worker);
  if (known == workers_.end())
    return;
  if (TimeOf(event.result.stamp) > now_ + kMaxStampLead) {
    ++counters_.results_with_future_stamp;
    return;
  }
  last_stamp_ = std::max(last_stamp_, event.result.stamp);
  std::optional<ProbeResult>& last = known->second.last;
  if (last && std::tie(event.result.stamp, event.result.origin) <= std::tie(last->stamp, last->origin)) {
    ++(event.result.stamp == last->stamp ? counters_.duplicate_results : counters_.outdated_results);
    return;
  }
  ++counters_.results_received;
  last = event.result;
  effects_->push_back(BroadcastResult{event.result});
  effects_->push_back(DeliverResult{std::move(event.result)});
}

Stamp ProbeSharing::NextStamp() {
  last_stamp_ = std::max(last_stamp_ + 1, static_cast<Stamp>(now_ / kMillisecond) << 16);
  return last_stamp_;
}

}  // namespace aldersill::duties
