#ifndef FOXQUAY_STORAGE_FWD_H_
#define FOXQUAY_STORAGE_FWD_H_

namespace foxquay::storage {

class File;
class Store;
struct Recovered;

}  // namespace foxquay::storage

#endif  // FOXQUAY_STORAGE_FWD_H_
