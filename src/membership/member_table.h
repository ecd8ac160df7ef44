// What is known of the other members: the latest accepted update of each and since when it holds.
#ifndef ALDERSILL_SRC_MEMBERSHIP_MEMBER_TABLE_H_
#define ALDERSILL_SRC_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "membership/protocol_state.h"

namespace aldersill::membership {

struct MemberRecord {
  Update update;
  Micros since = 0;  // of its state
};

class MemberTable {
 public:
  explicit MemberTable(const ProtocolState& state) : state_(state) {}

  const MemberRecord* Find(const std::string& name) const;
  MemberRecord* Find(const std::string& name);
  bool IsLivingMember(const std::string& name) const;
  const std::map<std::string, MemberRecord>& records() const { return records_; }
  std::size_t living() const { return living_; }  // this member included
  // All members, this one included, by name.
  std::map<std::string, Update> View() const;
  // A hash over names and incarnations of the living: equal where two members have the same view.
  std::uint64_t Digest() const;

  bool full() const { return records_.size() + 1 >= state_.settings.max_members; }
  void Add(const Update& update);
  void Replace(MemberRecord* record, const Update& update);
  // Makes room for another member; false if no dead one is remembered.
  bool ForgetOldestDead();
  void ForgetExpired();

 private:
  const ProtocolState& state_;
  std::map<std::string, MemberRecord> records_;
  std::size_t living_ = 1;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_MEMBER_TABLE_H_
