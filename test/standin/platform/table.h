// The stand-in's transactional table, held in memory.
#pragma once

#include "heathercross/table.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::standin {

/// Rows found by a scan, in order of their versions.
struct ScanPage {
  std::vector<Row> Rows_;
  /// Where the next scan goes on.
  RowVersion Version_;
  bool More_ = false;
};

/// Rows with versions; every committed transaction takes effect at once.
class Table {
public:
  CommitResult commit(const Transaction &T);
  std::optional<Row> row(const std::string &Key) const;
  /// Rows whose keys begin with Prefix and that were written after a version.
  /// The rows of one transaction are never split between pages.
  ScanPage scan(const std::string &Prefix, RowVersion After,
                std::size_t Limit) const;

private:
  using Versions = std::map<RowVersion, std::vector<std::string>>;

  std::vector<Expectation>
  conflicts(const std::vector<Expectation> &Expect) const;
  void forget(const std::string &Key);
  std::vector<Row> rowsAfter(const std::string &Prefix, RowVersion After) const;

  RowVersion Counter_;
  std::map<std::string, Row> Rows_;
  /// The keys by version, apart for each first segment of a key.
  std::map<std::string, Versions> Segments_;
};

} // namespace heathercross::standin
