// Assigns each worker to one member, its owner, by weighted rendezvous hashing (Thaler and Ravishankar 1998;
// the weights follow Schindelhauer and Schomaker 2005). When a member joins or leaves, only the workers that
// it gains or owned get another owner.
#ifndef ALDERSILL_SRC_DUTIES_OWNERSHIP_H_
#define ALDERSILL_SRC_DUTIES_OWNERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace aldersill::duties {

// The owners of all known workers. Members with the same view of the membership compute the same owners.
class Ownership {
 public:
  // Called for each worker whose owner has changed. `owner` is empty if the worker has no owner.
  using Changed = std::function<void(const std::string& worker, const std::string& owner)>;

  // Adds a member or changes its weight. A member of weight 0 owns no worker.
  void SetMember(const std::string& name, std::uint32_t weight, const Changed& changed);
  void RemoveMember(const std::string& name, const Changed& changed);
  void AddWorker(const std::string& name, const Changed& changed);
  void RemoveWorker(const std::string& name);

  // The owner of the worker; empty if the worker is unknown or has no owner.
  const std::string& OwnerOf(const std::string& worker) const;
  std::size_t workers() const { return workers_.size(); }

 private:
  struct Member {
    std::uint64_t hash = 0;  // of the name
    std::uint32_t weight = 0;
  };
  struct Worker {
    std::uint64_t hash = 0;  // of the name
    std::string owner;       // empty for none
    double score = 0.0;      // of the owner for this worker
  };
  // The member with the highest score owns the worker. A negative score excludes the member.
  static double Score(const Member& member, const Worker& worker);
  void ChooseOwner(const std::string& name, Worker* worker, const Changed& changed);

  std::map<std::string, Member> members_;
  std::map<std::string, Worker> workers_;
};

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_OWNERSHIP_H_
