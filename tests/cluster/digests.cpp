// Compares whole runs of the virtual cluster, every packet and effect of every member, with recorded digests.
#include <variant>

#include "cluster_scenario.h"
#include "duties/codec.h"
#include "membership/codec.h"
#include "support/recorded_digests.h"

namespace aldersill::tests {
namespace {

void Add(RunDigest& digest, const cluster::SendPacket& send) {
  digest.Add(send.address);
  digest.Add(membership::Encode(send.packet));
}
void Add(RunDigest& digest, const cluster::StartProbe& probe) {
  digest.Add(probe.number);
  digest.Add(probe.worker);
  digest.Add(probe.address);
}
void Add(RunDigest& digest, const cluster::DeliverResult& result) {
  digest.Add(result.result.worker);
  digest.Add(duties::EncodeResult(result.result));
}
void Add(RunDigest& digest, const membership::MembershipChange& change) {
  const membership::Update& member = change.member;
  digest.Add(static_cast<int>(change.kind));
  digest.Add(member.name);
  digest.Add(member.address);
  digest.Add(member.incarnation.epoch);
  digest.Add(member.incarnation.number);
  digest.Add(static_cast<int>(member.state));
  digest.Add(member.weight);
  digest.Add(member.accuser);
}
void Add(RunDigest& digest, const cluster::LeaseChange& change) {
  digest.Add(change.duty);
  digest.Add(change.acquired);
  digest.Add(change.term);
}

std::uint64_t DigestOf(std::uint64_t seed) {
  RunDigest digest;
  ClusterScenario scenario(seed, false);
  tools::VirtualCluster& cluster = scenario.cluster();
  cluster.on_effect = [&](int member, const cluster::Effect& effect) {
    digest.Add(cluster.now());
    digest.Add(member);
    digest.Add(effect.index());
    std::visit([&](const auto& alternative) { Add(digest, alternative); }, effect);
  };
  scenario.Play();
  return digest.value();
}

}  // namespace
}  // namespace aldersill::tests

int main(int argc, char** argv) {
  return aldersill::tests::CompareWithRecorded(argc, argv, aldersill::tests::DigestOf);
}
