// Tests of the placement over racks and of the reported rack risks.
#include "fleet/placement.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <algorithm>

using namespace heathercross;
using namespace heathercross::fleet;
using heathercross::test::section;

namespace {

std::vector<ListedInstance> freeInstances(const std::vector<unsigned> &Sizes) {
  std::vector<ListedInstance> Result;
  for (unsigned R = 0; R < Sizes.size(); ++R)
    for (unsigned I = 0; I < Sizes[R]; ++I) {
      ListedInstance L;
      L.Name_ = InstanceId("i" + std::to_string(1'000 + Result.size()));
      L.Rack_ = RackId("r" + std::to_string(R));
      L.Zone_ = ZoneId("z" + std::to_string(R % 3));
      Result.push_back(L);
    }
  return Result;
}

PoolNeed need(const char *Name, std::uint32_t Size, std::uint32_t Min) {
  return {PoolId(Name), Size, Min, {}};
}

/// Returns the needs with the placed instances added as members.
std::vector<PoolNeed> placeAll(std::vector<PoolNeed> Needs,
                               const std::vector<ListedInstance> &Free) {
  for (const auto &A : place(Needs, Free)) {
    const auto I =
        *std::ranges::find(Free, A.Instance_, &ListedInstance::Name_);
    const auto Need = std::ranges::find(Needs, A.Pool_, &PoolNeed::Pool_);
    ++Need->Members_[{I.Zone_, I.Rack_}];
  }
  return Needs;
}

/// Searches exhaustively for a distribution of both pools over the racks from
/// Rack on such that neither exceeds its rack limit. InA and InB are the
/// instances already distributed.
bool distributionExists(const std::vector<unsigned> &Sizes, std::size_t Rack,
                        const PoolNeed &A, const PoolNeed &B, unsigned InA,
                        unsigned InB) {
  if (Rack == Sizes.size())
    return InA == A.Size_ && InB == B.Size_;
  for (unsigned X = 0; X <= std::min(Sizes[Rack], A.rackLimit()); ++X)
    for (unsigned Y = 0; Y <= std::min(Sizes[Rack] - X, B.rackLimit()); ++Y)
      if (distributionExists(Sizes, Rack + 1, A, B, InA + X, InB + Y))
        return true;
  return false;
}

} // namespace

HEATHERCROSS_STORY(Spreading, "pools are spread over racks and zones") {
  section(
      "five pools of ten and a spare pool tolerate the loss of any rack", [] {
        const auto Free = freeInstances(std::vector<unsigned>(15, 4));
        const auto Needs =
            placeAll({need("a", 10, 8), need("b", 10, 8), need("c", 10, 8),
                      need("d", 10, 8), need("e", 10, 8), need("portal", 8, 4)},
                     Free);
        for (const auto &N : Needs)
          CPPUNIT_ASSERT_EQUAL(0U, N.deficit());
        CPPUNIT_ASSERT(rackRisks(Needs).empty());
      });
  section("a pool that no placement can protect is reported", [] {
    const auto Needs = placeAll({need("a", 6, 5)}, freeInstances({4, 4}));
    const auto Risks = rackRisks(Needs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Risks.size());
    CPPUNIT_ASSERT_EQUAL(3U, Risks[0].Remaining_);
    CPPUNIT_ASSERT(!Risks[0].Avoidable_);
  });
  section("a risk that another placement avoids is marked avoidable", [] {
    std::vector<PoolNeed> Needs = {need("a", 2, 1), need("b", 2, 1)};
    Needs[0].Members_[{ZoneId("z0"), RackId("r0")}] = 2;
    Needs[1].Members_[{ZoneId("z1"), RackId("r1")}] = 2;
    const auto Risks = rackRisks(Needs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Risks.size());
    CPPUNIT_ASSERT(Risks[0].Avoidable_);
  });
}

HEATHERCROSS_STORY(SpreadProperty, "a placement within the limits is found") {
  HEATHERCROSS_PROPERTY("whenever one exists", [] {
    const auto Sizes =
        *rc::gen::container<std::vector<unsigned>>(4, rc::gen::inRange(0U, 5U));
    unsigned All = 0;
    for (const auto Size : Sizes)
      All += Size;
    const auto SizeA = *rc::gen::inRange(0U, All + 1);
    const auto SizeB = *rc::gen::inRange(0U, All - SizeA + 1);
    const auto A = need("a", SizeA, *rc::gen::inRange(0U, SizeA + 1));
    const auto B = need("b", SizeB, *rc::gen::inRange(0U, SizeB + 1));
    const auto Needs = placeAll({A, B}, freeInstances(Sizes));
    RC_ASSERT(Needs[0].deficit() == 0U);
    RC_ASSERT(Needs[1].deficit() == 0U);
    const bool AllWithinLimits =
        std::ranges::all_of(Needs, [](const PoolNeed &N) {
          return std::ranges::all_of(N.Members_, [&](const auto &Entry) {
            return Entry.second <= N.rackLimit();
          });
        });
    RC_ASSERT(AllWithinLimits == distributionExists(Sizes, 0, A, B, 0, 0));
  });
}
