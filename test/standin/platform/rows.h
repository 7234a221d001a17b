// The stand-in's store of rows, held in memory.
#pragma once

#include "platform/store.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::standin {

/// Rows found by a read.
struct RowPage {
  std::vector<platform_api::StoredRow> Rows_;
  bool More_ = false;
};

/// Rows with versions; every committed transaction takes effect at once.
class Rows {
public:
  /// Nothing when the transaction was applied, else the rows of its
  /// conditions as they stand.
  std::optional<std::vector<platform_api::StoredRow>>
  apply(const platform_api::StoreTransaction &T);
  /// Rows of one partition with keys from From up to, without, To. An empty To
  /// is no end; a limit of 0 is the largest page.
  RowPage read(const std::string &Table, const std::string &Partition,
               const std::string &From, const std::string &To,
               std::size_t Limit) const;
  /// Rows of a table that changed after a version, removed ones included, in
  /// the order of their versions.
  std::vector<platform_api::StoredRow> changes(const std::string &Table,
                                               RowVersion After) const;
  RowVersion version() const { return Version_; }

private:
  platform_api::StoredRow current(const platform_api::RowPlace &Place) const;
  void put(platform_api::StoredRow R);

  RowVersion Version_;
  /// Also the rows that were removed, with the version of that.
  std::map<platform_api::RowPlace, platform_api::StoredRow> Rows_;
  /// The places of each table by version.
  std::map<std::string, std::multimap<RowVersion, platform_api::RowPlace>>
      History_;
};

} // namespace heathercross::standin
