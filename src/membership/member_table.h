// The table of the other members: the latest accepted update about each and the time since when it applies.
#ifndef ALDERSILL_SRC_MEMBERSHIP_MEMBER_TABLE_H_
#define ALDERSILL_SRC_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "membership/protocol_state.h"

namespace aldersill::membership {

struct MemberRecord {
  Update update;
  Micros since = 0;  // when this state began here
};

// This member itself is not in the table, but View, Digest and living() include it.
class MemberTable {
 public:
  explicit MemberTable(const ProtocolState& state) : state_(state) {}

  // Null if the member is unknown.
  const MemberRecord* Find(const std::string& name) const;
  MemberRecord* Find(const std::string& name);
  bool IsLivingMember(const std::string& name) const;
  const std::map<std::string, MemberRecord>& records() const { return records_; }
  // Number of alive or suspect members, including this member.
  std::size_t living() const { return living_; }
  // The states of all remembered members, including this one, by name.
  std::map<std::string, Update> View() const;
  // A hash of the names and incarnations of the living members, equal for members with the same view.
  std::uint64_t Digest() const;

  // Whether the table has reached max_members.
  bool full() const { return records_.size() + 1 >= state_.settings.max_members; }
  void Add(const Update& update);
  void Replace(MemberRecord* record, const Update& update);
  // Removes the member that has been dead or left for longest; returns false if there is none.
  bool ForgetOldestDead();
  // Removes the members that have been dead or left for longer than their retention time.
  void ForgetExpired();

 private:
  const ProtocolState& state_;
  std::map<std::string, MemberRecord> records_;
  std::size_t living_ = 1;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_MEMBER_TABLE_H_
