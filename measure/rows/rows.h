#ifndef PIMENTOHALL_MEASURE_ROWS_ROWS_H_
#define PIMENTOHALL_MEASURE_ROWS_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentohall::measure {

enum class bound_kind { kMax, kMin, kNone };

// One measured value. The bounds are those of docs/design.md section 14.
struct row {
  std::string name;
  double value = 0;
  std::string unit;
  std::optional<double> bound;
  bound_kind kind = bound_kind::kMax;
  std::string size;  // What it was measured on.
  std::uint64_t seed = 0;

  bool Passes() const;
};

// Collects rows, appends each to a file as one JSON line at once, and prints
// them as a table.
class row_list {
 public:
  // An empty `file` writes none.
  explicit row_list(std::string file) : file_(std::move(file)) {}

  // The bound follows from the name. Names without a bound are reported only.
  void Add(const std::string& name, double value, const std::string& size,
           std::uint64_t seed);
  // A row that could not be measured, and why.
  void AddMissing(const std::string& name, const std::string& why);

  bool AllMeasured() const { return missing_.empty(); }
  void PrintTable() const;

 private:
  struct missing_row {
    std::string name;
    std::string why;
  };

  std::string file_;
  std::vector<row> rows_;
  std::vector<missing_row> missing_;
};

}  // namespace pimentohall::measure

#endif  // PIMENTOHALL_MEASURE_ROWS_ROWS_H_
