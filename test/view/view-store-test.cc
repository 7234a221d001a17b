// Tests of the view store: upwards only, whole heads only.
#include "support/story.h"
#include "view/model-table.h"
#include "view/view-store.h"

#include <rapidcheck.h>

#include <array>

using namespace heathercross;
using namespace heathercross::view;
using heathercross::test::ModelTable;
using heathercross::test::section;

namespace {

/// A table to which tickets are committed that each write the same size into
/// some of four pools, and the view that each amounts to.
class Tickets {
public:
  void commit(int Pools) {
    const TicketNumber N(Views_.size());
    std::vector<Change> Changes;
    Transaction T;
    for (int I = 0; I < 4; ++I)
      if ((1 + Pools % 15) >> I & 1)
        Changes.emplace_back(Pool{PoolId("p" + std::to_string(I)),
                                  static_cast<std::uint32_t>(N.value())});
    T.Put_ = {{"head", headText(N)}};
    for (const Change &C : Changes)
      T.Put_.push_back({rowKey(keyOf(C)), encode(ViewObject{N, C})});
    Table_.commit(T);
    Views_.push_back(withChanges(Views_.back(), Changes));
    Views_.back().Head_ = N;
  }

  TicketNumber head() const { return TicketNumber(Views_.size() - 1); }
  const View &at(TicketNumber N) const { return Views_[N.value()]; }

  ModelTable Table_;

private:
  std::vector<View> Views_{View()};
};

} // namespace

HEATHERCROSS_STORY(ViewStoreStory, "a view store takes whole heads only") {
  Tickets T;
  for (int I = 0; I < 3; ++I)
    T.commit(14);
  const auto Rows = T.Table_.scan(ViewPrefix);
  ViewStore S;
  CPPUNIT_ASSERT(!S.known());
  section("rows above the head that was read are torn", [&] {
    CPPUNIT_ASSERT(S.apply(Rows, TicketNumber(2)) == Applied::Torn);
    CPPUNIT_ASSERT(S.apply({}, TicketNumber(3)) == Applied::Torn);
    CPPUNIT_ASSERT(!S.known());
  });
  section("the whole of it is taken, once", [&] {
    CPPUNIT_ASSERT(S.apply(Rows, TicketNumber(3)) == Applied::Newer);
    CPPUNIT_ASSERT(S.apply(Rows, TicketNumber(3)) == Applied::Unchanged);
    CPPUNIT_ASSERT(S.view() == T.at(TicketNumber(3)));
  });
  section("changes since a head that isn't reached yet are torn", [&] {
    T.commit(14);
    T.commit(0);
    CPPUNIT_ASSERT(S.merge({TicketNumber(4), TicketNumber(5), {}}) ==
                   Applied::Torn);
  });
  section("a row that can't be read changes nothing", [&] {
    const Row Bad{"view/pool/p0", RowVersion(99), AttemptId("a"), "{}"};
    CPPUNIT_ASSERT_THROW(S.apply({Bad}, TicketNumber(4)), FormatError);
    CPPUNIT_ASSERT(S.view() == T.at(TicketNumber(3)));
  });
  section("it gives the state for a ticket only at the head it holds", [&] {
    CPPUNIT_ASSERT(!S.agreed(T.Table_.read("head")));
    S.apply(T.Table_.scan(ViewPrefix, S.cursor()), TicketNumber(5));
    const auto State = S.agreed(T.Table_.read("head"));
    CPPUNIT_ASSERT(State && viewOf(*State) == T.at(TicketNumber(5)));
    CPPUNIT_ASSERT(
        State->Objects_ ==
        agreedFrom(T.Table_.read("head"), T.Table_.scan(ViewPrefix)).Objects_);
  });
}

HEATHERCROSS_STORY(ViewStoreOrder,
                   "in any order, a store never goes back or shows half") {
  const auto Property = [] {
    Tickets T;
    std::array<ViewStore, 3> Stores;
    std::vector<ViewChanges> Late;
    // A read of the table in three steps, with commits in between.
    struct Read {
      TicketNumber Head_;
      std::vector<Row> Rows_;
    };
    std::array<Read, 3> Reads;
    const auto Dice = *rc::gen::container<std::vector<int>>(
        150, rc::gen::inRange(0, 100'000));
    for (const int D : Dice) {
      const auto I = static_cast<std::size_t>(D / 6 % 3);
      const auto Other = static_cast<std::size_t>(D / 18 % 3);
      ViewStore &S = Stores[I];
      const TicketNumber Before = S.head();
      if (D % 6 == 0)
        T.commit(D / 6);
      if (D % 6 == 1)
        Reads[I].Head_ = T.head();
      if (D % 6 == 2)
        Reads[I].Rows_ = T.Table_.scan(ViewPrefix, S.cursor());
      if (D % 6 == 3)
        S.apply(Reads[I].Rows_, Reads[I].Head_);
      if (D % 6 == 4)
        Late.push_back(
            Stores[Other].changesSince(D / 54 % 2 ? S.head() : TicketNumber()));
      if (D % 6 == 5 && !Late.empty())
        S.merge(Late[static_cast<std::size_t>(D / 54) % Late.size()]);
      RC_ASSERT(S.head() >= Before);
      RC_ASSERT(S.view() == T.at(S.head()));
    }
  };
  HEATHERCROSS_PROPERTY("a store shows what was agreed at its head", Property);
}
