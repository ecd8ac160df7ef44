#include "membership/member_table.h"

#include <xxhash.h>

#include <algorithm>

namespace aldersill::membership {
namespace {

// A member that left is remembered for this long, because outdated updates about it may circulate and would
// add it again.
constexpr Micros kLeftRetention = 60 * kSecond;

}  // namespace

const MemberRecord* MemberTable::Find(const std::string& name) const {
  const auto found = records_.find(name);
  return found == records_.end() ? nullptr : &found->second;
}

MemberRecord* MemberTable::Find(const std::string& name) {
  const auto found = records_.find(name);
  return found == records_.end() ? nullptr : &found->second;
}

bool MemberTable::IsLivingMember(const std::string& name) const {
  const MemberRecord* record = Find(name);
  return record != nullptr && IsLiving(record->update.state);
}

std::map<std::string, Update> MemberTable::View() const {
  std::map<std::string, Update> view;
  for (const auto& [name, record] : records_)
    view.emplace(name, record.update);
  view.emplace(state_.settings.name, state_.Self());
  return view;
}

std::uint64_t MemberTable::Digest() const {
  std::string text;
  for (const auto& [name, update] : View()) {
    if (!IsLiving(update.state))
      continue;
    text += name + '\n' + std::to_string(update.incarnation.epoch) + '.' +
            std::to_string(update.incarnation.number) + '\n';
  }
  return XXH3_64bits(text.data(), text.size());
}

void MemberTable::Add(const Update& update) {
  records_[update.name] = MemberRecord{.update = update, .since = state_.now};
  if (IsLiving(update.state))
    ++living_;
}

void MemberTable::Replace(MemberRecord* record, const Update& update) {
  if (IsLiving(record->update.state))
    --living_;
  if (IsLiving(update.state))
    ++living_;
  record->update = update;
  record->since = state_.now;
}

bool MemberTable::ForgetOldestDead() {
  auto oldest = records_.end();
  for (auto at = records_.begin(); at != records_.end(); ++at) {
    if (IsLiving(at->second.update.state))
      continue;
    if (oldest == records_.end() || at->second.since < oldest->second.since)
      oldest = at;
  }
  if (oldest == records_.end())
    return false;
  records_.erase(oldest);
  return true;
}

void MemberTable::ForgetExpired() {
  std::erase_if(records_, [this](const auto& item) {
    const MemberRecord& record = item.second;
    if (IsLiving(record.update.state))
      return false;
    const Micros dead_retention = state_.settings.dead_retention;
    const Micros retention =
        record.update.state == State::kLeft ? std::min(dead_retention, kLeftRetention) : dead_retention;
    return state_.now - record.since >= retention;
  });
}

}  // namespace aldersill::membership
