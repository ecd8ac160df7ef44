// Which member owns which worker: weighted rendezvous hashing (Thaler and Ravishankar 1998; the weights after
// Schindelhauer and Schomaker 2005). When a member joins or leaves, only the workers that it gains or owned
// change their owner.
#ifndef ALDERSILL_SRC_DUTIES_OWNERSHIP_H_
#define ALDERSILL_SRC_DUTIES_OWNERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace aldersill::duties {

class Ownership {
 public:
  // Called with each worker whose owner has changed; an empty owner: none.
  using Changed = std::function<void(const std::string& worker, const std::string& owner)>;

  void SetMember(const std::string& name, std::uint32_t weight, const Changed& changed);
  void RemoveMember(const std::string& name, const Changed& changed);
  void AddWorker(const std::string& name, const Changed& changed);
  void RemoveWorker(const std::string& name);

  const std::string& OwnerOf(const std::string& worker) const;  // empty for none
  std::size_t workers() const { return workers_.size(); }

 private:
  struct Member {
    std::uint64_t hash = 0;
    std::uint32_t weight = 0;
  };
  struct Worker {
    std::uint64_t hash = 0;
    std::string owner;
    double score = 0.0;
  };
  // The owner is the member with the highest score; below 0: it takes no part.
  static double Score(const Member& member, const Worker& worker);
  void ChooseOwner(const std::string& name, Worker* worker, const Changed& changed);

  std::map<std::string, Member> members_;
  std::map<std::string, Worker> workers_;
};

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_OWNERSHIP_H_
