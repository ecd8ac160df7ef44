#include "membership/suspicion.h"

#include <algorithm>
#include <cmath>

namespace aldersill::membership {

void SuspicionTable::Begin(const std::string& member) {
  suspicions_[member] = Suspicion{.accusers = {}, .began = state_.now, .ends = 0};
}

bool SuspicionTable::IsConfirmation(const std::string& member, const std::string& accuser) const {
  const std::set<std::string>& accusers = suspicions_.at(member).accusers;
  return !accusers.contains(accuser) && std::ssize(accusers) <= state_.settings.confirmations;
}

void SuspicionTable::AddAccuser(const std::string& member, const std::string& accuser, std::size_t living) {
  Suspicion& suspicion = suspicions_.at(member);
  suspicion.accusers.insert(accuser);
  by_end_.erase({suspicion.ends, member});
  suspicion.ends = std::max(state_.now, suspicion.began + TimeoutOf(suspicion, living));
  by_end_.insert({suspicion.ends, member});
}

void SuspicionTable::End(const std::string& member) {
  const auto found = suspicions_.find(member);
  if (found == suspicions_.end())
    return;
  by_end_.erase({found->second.ends, member});
  suspicions_.erase(found);
}

void SuspicionTable::Postpone(Micros by) {
  by_end_.clear();
  for (auto& [member, suspicion] : suspicions_) {
    suspicion.began += by;
    suspicion.ends += by;
    by_end_.insert({suspicion.ends, member});
  }
}

Micros SuspicionTable::next_due() const { return by_end_.empty() ? INT64_MAX : by_end_.begin()->first; }

std::optional<std::string> SuspicionTable::TimedOut() const {
  if (next_due() > state_.now)
    return std::nullopt;
  return by_end_.begin()->second;
}

Micros SuspicionTable::TimeoutOf(const Suspicion& suspicion, std::size_t living) const {
  const Settings& settings = state_.settings;
  // Long enough for the accusation to reach the suspect and its refutation to come back, at any size.
  const double rounds =
      std::ceil(std::log(static_cast<double>(living)) / std::log(settings.gossip_fanout + 1.0)) + 1.0;
  const Micros minimum = std::max<Micros>(settings.suspicion_min_periods * settings.probe_interval,
                                          static_cast<Micros>(3.0 * rounds) * settings.gossip_interval);
  // A group too small for the wanted confirmations cannot wait for them.
  const int others = static_cast<int>(living) - 2;
  if (others < settings.confirmations || settings.confirmations == 0)
    return minimum;
  const double confirmed = static_cast<double>(suspicion.accusers.size()) - 1.0;
  const double maximum = static_cast<double>(minimum) * settings.suspicion_max_multiplier;
  const double portion = std::log(confirmed + 1.0) / std::log(settings.confirmations + 1.0);
  return std::max(minimum, static_cast<Micros>(maximum - (maximum - static_cast<double>(minimum)) * portion));
}

}  // namespace aldersill::membership
