// Tests of the view store: the head never decreases, and every view is
// complete.
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

/// Commits tickets to a table and keeps the view of each head. A ticket sets
/// the size of some of four pools to its own number.
class CommittedTickets {
public:
  void commit(int Pools) {
    const TicketNumber N(Views_.size());
    std::vector<Change> Changes;
    Transaction T;
    for (int I = 0; I < 4; ++I)
      if ((1 + Pools % 15) >> I & 1)
        Changes.emplace_back(Pool{PoolId("p" + std::to_string(I)),
                                  static_cast<std::uint32_t>(N.value())});
    T.Put_ = {{"head", encodeHead(N)}};
    for (const Change &C : Changes)
      T.Put_.push_back({rowKey(keyOf(C)), encode(ViewObject{N, C})});
    Table_.commit(T);
    Views_.push_back(withChanges(Views_.back(), Changes));
    Views_.back().Head_ = N;
  }

  TicketNumber head() const { return TicketNumber(Views_.size() - 1); }
  const View &viewAt(TicketNumber N) const { return Views_[N.value()]; }

  ModelTable Table_;

private:
  std::vector<View> Views_{View()};
};

} // namespace

HEATHERCROSS_STORY(ViewStoreStory, "a view store takes consistent heads only") {
  CommittedTickets T;
  for (int I = 0; I < 3; ++I)
    T.commit(14);
  const auto Rows = T.Table_.scan(ViewPrefix);
  ViewStore S;
  CPPUNIT_ASSERT(!S.hasView());
  section("rows above the head that was read are torn", [&] {
    CPPUNIT_ASSERT(S.apply(Rows, TicketNumber(2)) == Applied::Torn);
    CPPUNIT_ASSERT(S.apply({}, TicketNumber(3)) == Applied::Torn);
    CPPUNIT_ASSERT(!S.hasView());
  });
  section("all of it is taken, but only once", [&] {
    CPPUNIT_ASSERT(S.apply(Rows, TicketNumber(3)) == Applied::Newer);
    CPPUNIT_ASSERT(S.apply(Rows, TicketNumber(3)) == Applied::Unchanged);
    CPPUNIT_ASSERT(S.view() == T.viewAt(TicketNumber(3)));
  });
  section("changes since a head that isn't reached yet are torn", [&] {
    T.commit(14);
    T.commit(0);
    CPPUNIT_ASSERT(S.merge({TicketNumber(4), TicketNumber(5), {}}) ==
                   Applied::Torn);
  });
  section("a row that can't be decoded changes nothing", [&] {
    const Row Bad{"view/pool/p0", RowVersion(99), AttemptId("a"), "{}"};
    CPPUNIT_ASSERT_THROW(S.apply({Bad}, TicketNumber(4)), FormatError);
    CPPUNIT_ASSERT(S.view() == T.viewAt(TicketNumber(3)));
  });
  section("it returns the state for a ticket only at its head", [&] {
    CPPUNIT_ASSERT(!S.agreedState(T.Table_.read("head")));
    S.apply(T.Table_.scan(ViewPrefix, S.cursor()), TicketNumber(5));
    const auto State = S.agreedState(T.Table_.read("head"));
    CPPUNIT_ASSERT(State && viewOf(*State) == T.viewAt(TicketNumber(5)));
    CPPUNIT_ASSERT(State->Objects_ == readAgreedState(T.Table_.read("head"),
                                                      T.Table_.scan(ViewPrefix))
                                          .Objects_);
  });
}

HEATHERCROSS_STORY(ViewStoreOrder,
                   "in any order, a store never goes back or is partial") {
  const auto Property = [] {
    CommittedTickets T;
    std::array<ViewStore, 3> Stores;
    std::vector<ViewChanges> Delayed;
    // A read of the table in three steps, with commits between them.
    struct Read {
      TicketNumber Head_;
      std::vector<Row> Rows_;
    };
    std::array<Read, 3> Reads;
    const auto Choices = *rc::gen::container<std::vector<int>>(
        150, rc::gen::inRange(0, 100'000));
    for (const int Random : Choices) {
      const auto I = static_cast<std::size_t>(Random / 6 % 3);
      const auto Other = static_cast<std::size_t>(Random / 18 % 3);
      ViewStore &S = Stores[I];
      const TicketNumber Before = S.head();
      if (Random % 6 == 0)
        T.commit(Random / 6);
      if (Random % 6 == 1)
        Reads[I].Head_ = T.head();
      if (Random % 6 == 2)
        Reads[I].Rows_ = T.Table_.scan(ViewPrefix, S.cursor());
      if (Random % 6 == 3)
        S.apply(Reads[I].Rows_, Reads[I].Head_);
      if (Random % 6 == 4)
        Delayed.push_back(Stores[Other].changesSince(
            Random / 54 % 2 ? S.head() : TicketNumber()));
      if (Random % 6 == 5 && !Delayed.empty())
        S.merge(
            Delayed[static_cast<std::size_t>(Random / 54) % Delayed.size()]);
      RC_ASSERT(S.head() >= Before);
      RC_ASSERT(S.view() == T.viewAt(S.head()));
    }
  };
  HEATHERCROSS_PROPERTY("a store holds what was agreed at its head", Property);
}
