// Compares whole runs of a fleet with budgets, every effect of every lease, quota client and quota allocator,
// with recorded digests.
#include <string>
#include <variant>

#include "budget_scenario.h"
#include "budgets/codec.h"
#include "duties/codec.h"
#include "support/recorded_digests.h"

namespace aldersill::tests {
namespace {

void Add(RunDigest& digest, const duties::SendLeaseMessage& send) {
  digest.Add(send.to);
  digest.Add(duties::EncodeMessage({"budgets", send.message}));
}
void Add(RunDigest& digest, const duties::LeaseAcquired& taken) { digest.Add(taken.term); }
void Add(RunDigest& digest, const duties::LeaseLost& lost) { digest.Add(lost.term); }
void Add(RunDigest& digest, const budgets::SendQuotaRequest& send) {
  digest.Add(send.to);
  digest.Add(budgets::Encode(send.request));
}
void Add(RunDigest& digest, const budgets::QuotaClientFailed& failed) { digest.Add(failed.error.text()); }
void Add(RunDigest& digest, const budgets::SendQuotaGrant& send) {
  digest.Add(send.to);
  digest.Add(budgets::Encode(send.grant));
}
void Add(RunDigest& digest, const budgets::QuotaAllocatorFailed& failed) { digest.Add(failed.error.text()); }

std::uint64_t DigestOf(std::uint64_t seed) {
  RunDigest digest;
  BudgetScenario scenario(seed, false);
  tools::VirtualBudgets& world = scenario.fleet().world;
  const auto add_effect = [&](int source, int member, const auto& effect) {
    digest.Add(source);
    digest.Add(world.now());
    digest.Add(member);
    digest.Add(effect.index());
    std::visit([&](const auto& alternative) { Add(digest, alternative); }, effect);
  };
  world.on_lease_effect = [&](int member, const auto& effect) { add_effect(1, member, effect); };
  world.on_quota_client_effect = [&](int member, const auto& effect) { add_effect(2, member, effect); };
  world.on_quota_allocator_effect = [&](int member, const auto& effect) { add_effect(3, member, effect); };
  digest.Add(scenario.Play());
  for (const std::int64_t served : scenario.fleet().served)
    digest.Add(served);
  return digest.value();
}

}  // namespace
}  // namespace aldersill::tests

int main(int argc, char** argv) {
  return aldersill::tests::CompareWithRecorded(argc, argv, aldersill::tests::DigestOf);
}
