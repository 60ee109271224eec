#pragma once

/** \file
 * A folder for the files of one test.
 */

#include <string>

namespace plantainlatch {

/** Creates a new folder in the system's folder for temporary files, and removes it with all its files at its end. */
class temporary_folder {
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    const std::string& path() const { return m_path; }
    /** The path of a file in the folder. */
    std::string file(const std::string& name) const { return m_path + "/" + name; }
    /** The folder stays, so that its files can be read after a failed test. */
    void keep() { m_isKept = true; }

private:
    std::string m_path;
    bool m_isKept = false;
};

} // namespace plantainlatch
