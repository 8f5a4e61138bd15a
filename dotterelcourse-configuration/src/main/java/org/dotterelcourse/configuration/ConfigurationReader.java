package org.dotterelcourse.configuration;

/** Parses and validates configuration documents, and applies patches to a base configuration. */
public interface ConfigurationReader {
    /**
     * Reads a complete document.
     *
     * @param number the number under which the document is published
     * @param name the document's file name, used in findings
     * @param ini the document as INI text
     * @return the configuration, or all findings
     */
    Checked<Configuration> read(long number, String name, String ini);

    /**
     * Applies the changes of a patch to a configuration and validates the result. The base is not modified.
     *
     * @param base the configuration to change; the patch must name its number as {@code base}
     * @param number the number under which the patch is published, which must be greater than the number of the base
     * @param name the patch's file name, used in findings
     * @param ini the patch as INI text
     * @return the resulting configuration, or all findings about the patch and the resulting configuration
     */
    Checked<Configuration> fold(Configuration base, long number, String name, String ini);
}
