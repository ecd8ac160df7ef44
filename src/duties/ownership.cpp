#include "duties/ownership.h"

#include <xxhash.h>

#include <cmath>

namespace aldersill::duties {
namespace {

std::uint64_t HashOf(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

}  // namespace

double Ownership::Score(const Member& member, const Worker& worker) {
  if (member.weight == 0)
    return -1.0;  // a member of weight 0 owns no worker
  const std::uint64_t hashes[] = {member.hash, worker.hash};
  const double uniform = (static_cast<double>(XXH3_64bits(hashes, sizeof(hashes)) >> 11) + 0.5) * 0x1.0p-53;
  return -static_cast<double>(member.weight) / std::log(uniform);
}

void Ownership::SetMember(const std::string& name, std::uint32_t weight, const Changed& changed) {
  const auto known = members_.find(name);
  if (known != members_.end() && known->second.weight == weight)
    return;
  if (known != members_.end())
    RemoveMember(name, changed);
  const Member member{HashOf(name), weight};
  members_[name] = member;
  for (auto& [worker_name, worker] : workers_) {
    const double score = Score(member, worker);
    if (score < 0 || (!worker.owner.empty() && score <= worker.score))
      continue;
    worker.owner = name;
    worker.score = score;
    changed(worker_name, name);
  }
}

void Ownership::RemoveMember(const std::string& name, const Changed& changed) {
  if (members_.erase(name) == 0)
    return;
  for (auto& [worker_name, worker] : workers_) {
    if (worker.owner == name)
      ChooseOwner(worker_name, &worker, changed);
  }
}

void Ownership::AddWorker(const std::string& name, const Changed& changed) {
  const auto [at, added] = workers_.emplace(name, Worker{HashOf(name), "", 0.0});
  if (added)
    ChooseOwner(name, &at->second, changed);
}

void Ownership::RemoveWorker(const std::string& name) { workers_.erase(name); }

const std::string& Ownership::OwnerOf(const std::string& worker) const {
  static const std::string kNoOwner;
  const auto found = workers_.find(worker);
  return found == workers_.end() ? kNoOwner : found->second.owner;
}

void Ownership::ChooseOwner(const std::string& name, Worker* worker, const Changed& changed) {
  worker->owner.clear();
  worker->score = 0.0;
  for (const auto& [member_name, member] : members_) {
    const double score = Score(member, *worker);
    if (score < 0 || (!worker->owner.empty() && score <= worker->score))
      continue;
    worker->owner = member_name;
    worker->score = score;
  }
  changed(name, worker->owner);
}

}  // namespace aldersill::duties
