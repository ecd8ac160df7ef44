#include "membership/suspicion.h"

#include <algorithm>
#include <cmath>

namespace aldersill::membership {

void SuspicionTable::Begin(const std::string& member) {
  suspicions_[member] = Suspicion{.accusers = {}, .began = state_.now, .deadline = 0};
}

bool SuspicionTable::IsConfirmation(const std::string& member, const std::string& accuser) const {
  const std::set<std::string>& accusers = suspicions_.at(member).accusers;
  return !accusers.contains(accuser) && std::ssize(accusers) <= state_.settings.confirmations;
}

void SuspicionTable::AddAccuser(const std::string& member, const std::string& accuser, std::size_t living) {
  Suspicion& suspicion = suspicions_.at(member);
  suspicion.accusers.insert(accuser);
  by_deadline_.erase({suspicion.deadline, member});
  suspicion.deadline = std::max(state_.now, suspicion.began + TimeoutOf(suspicion, living));
  by_deadline_.insert({suspicion.deadline, member});
}

void SuspicionTable::End(const std::string& member) {
  const auto found = suspicions_.find(member);
  if (found == suspicions_.end())
    return;
  by_deadline_.erase({found->second.deadline, member});
  suspicions_.erase(found);
}

void SuspicionTable::Postpone(Micros by) {
  by_deadline_.clear();
  for (auto& [member, suspicion] : suspicions_) {
    suspicion.began += by;
    suspicion.deadline += by;
    by_deadline_.insert({suspicion.deadline, member});
  }
}

Micros SuspicionTable::next_due() const {
  return by_deadline_.empty() ? INT64_MAX : by_deadline_.begin()->first;
}

std::optional<std::string> SuspicionTable::TimedOut() const {
  if (next_due() > state_.now)
    return std::nullopt;
  return by_deadline_.begin()->second;
}

Micros SuspicionTable::TimeoutOf(const Suspicion& suspicion, std::size_t living) const {
  const Settings& settings = state_.settings;
  // The minimum leaves enough time for the accusation to reach the suspect and for its refutation to spread,
  // in a group of any size.
  const double rounds =
      std::ceil(std::log(static_cast<double>(living)) / std::log(settings.gossip_fanout + 1.0)) + 1.0;
  const Micros minimum = std::max<Micros>(settings.suspicion_min_periods * settings.probe_interval,
                                          static_cast<Micros>(3.0 * rounds) * settings.gossip_interval);
  // In a group with fewer other members than confirmations needed, the timeout is the minimum from the start.
  const int others = static_cast<int>(living) - 2;
  if (others < settings.confirmations || settings.confirmations == 0)
    return minimum;
  const double confirmed = static_cast<double>(suspicion.accusers.size()) - 1.0;
  const double maximum = static_cast<double>(minimum) * settings.suspicion_max_multiplier;
  const double shrink_ratio = std::log(confirmed + 1.0) / std::log(settings.confirmations + 1.0);
  return std::max(minimum,
                  static_cast<Micros>(maximum - (maximum - static_cast<double>(minimum)) * shrink_ratio));
}

}  // namespace aldersill::membership
