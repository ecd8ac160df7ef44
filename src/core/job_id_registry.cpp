#include "core/job_id_registry.h"

namespace aldersill {

const JobIdRegistry::Entry* JobIdRegistry::Find(const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

JobIdRegistry::Verdict JobIdRegistry::Check(const Job& job, const dispatch::ClassSettings& job_class,
                                            Micros now) const {
  const Entry* entry = Find(job.id);
  if (entry == nullptr)
    return Verdict::kAdmit;
  if (entry->open_jobs > 0 || !job.has_idempotent_id)
    return Verdict::kReject;
  const bool in_window =
      job_class.repeat == dispatch::Repeat::kKeyed && now - entry->first_run_at < job_class.window;
  if (entry->first_run_at != 0 && job_class.repeat != dispatch::Repeat::kRepeatable && !in_window)
    return Verdict::kReject;
  return entry->abandoned_attempts > 0 ? Verdict::kRetryLater : Verdict::kAdmit;
}

Micros JobIdRegistry::LatestStart(const Job& job, const dispatch::ClassSettings& job_class) const {
  const Entry* entry = Find(job.id);
  if (entry == nullptr || entry->first_run_at == 0 || job_class.repeat != dispatch::Repeat::kKeyed)
    return kNoLimit;
  const Micros first_run_at = entry->first_run_at;
  return job_class.window < kNoLimit - first_run_at ? first_run_at + job_class.window : kNoLimit;
}

void JobIdRegistry::Open(const Job& job) {
  if (job.id.empty())
    return;
  Entry& entry = entries_[job.id];
  RemoveFromEnded(&entry);
  ++entry.open_jobs;
  entry.is_one_time = entry.is_one_time || !job.has_idempotent_id;
}

void JobIdRegistry::Close(const Job& job, Micros first_run_at) {
  const auto found = entries_.find(job.id);
  if (found == entries_.end() || found->second.open_jobs == 0)
    return;
  Entry& entry = found->second;
  if (entry.first_run_at == 0)
    entry.first_run_at = first_run_at;
  if (--entry.open_jobs > 0)
    return;
  if (job.has_idempotent_id && entry.first_run_at != 0)
    return AddToEnded(&ended_idempotent_, found->first, &entry);
  if (entry.is_one_time)
    return AddToEnded(&ended_one_time_, found->first, &entry);
  entries_.erase(found);
}

bool JobIdRegistry::IsOpen(const std::string& id) const {
  const Entry* entry = Find(id);
  return entry != nullptr && entry->open_jobs > 0;
}

void JobIdRegistry::MarkAbandoned(const std::string& id) {
  const auto found = entries_.find(id);
  if (found != entries_.end())
    ++found->second.abandoned_attempts;
}

void JobIdRegistry::MarkAbandonedEnded(const std::string& id) {
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.abandoned_attempts > 0)
    --found->second.abandoned_attempts;
}

void JobIdRegistry::RemoveFromEnded(Entry* entry) {
  if (entry->ended == nullptr)
    return;
  entry->ended->ids.erase(entry->position);
  entry->ended = nullptr;
}

void JobIdRegistry::AddToEnded(EndedIds* ended, const std::string& id, Entry* entry) {
  entry->ended = ended;
  entry->position = ended->ids.insert(ended->ids.end(), &id);
  if (ended->ids.size() <= ended->capacity)
    return;
  const std::string* oldest = ended->ids.front();
  ended->ids.pop_front();
  entries_.erase(entries_.find(*oldest));
}

}  // namespace aldersill
